// Implementation of TemporaryFolder.

#include "temporaryfolder.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <stdlib.h>

namespace cornelshed::demo {

TemporaryFolder::TemporaryFolder()
    : m_path((std::filesystem::temp_directory_path() / "cornelshed-XXXXXX").string())
{
    if (::mkdtemp(m_path.data()) == nullptr)
        throw std::runtime_error("mkdtemp() could not create a temporary folder");
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ec;
    if (!m_keepFolder)
        std::filesystem::remove_all(m_path, ec);
}

void TemporaryFolder::write(const std::string &name, const std::string &text) const
{
    std::ofstream out(file(name), std::ios::binary);
    out << text;
    if (!out.flush())
        throw std::runtime_error(file(name) + ": cannot be written");
}

std::string TemporaryFolder::read(const std::string &name) const
{
    std::ifstream in(file(name), std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace cornelshed::demo
