// A temporary folder for settings and log files that is removed on destruction.

#ifndef CORNELSHED_DEMO_TEMPORARYFOLDER_H
#define CORNELSHED_DEMO_TEMPORARYFOLDER_H

#include <string>

namespace cornelshed::demo {

class TemporaryFolder
{
public:
    TemporaryFolder(); // throws std::runtime_error if the folder cannot be created
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    // Path of a file in the folder.
    [[nodiscard]] std::string file(const std::string &name) const { return m_path + '/' + name; }

    // Creates or replaces a file. Throws std::runtime_error when it cannot be written.
    void write(const std::string &name, const std::string &text) const;

    // Returns the contents of a file, or an empty string if it cannot be read.
    [[nodiscard]] std::string read(const std::string &name) const;

    // Does not remove the folder on destruction, so that the logs can be read after a failure.
    void keep() { m_keepFolder = true; }

private:
    std::string m_path;
    bool m_keepFolder = false;
};

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_TEMPORARYFOLDER_H
