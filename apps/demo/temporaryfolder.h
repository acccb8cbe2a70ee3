// Folder for settings and log files that is removed at the end.

#ifndef CORNELSHED_DEMO_TEMPORARYFOLDER_H
#define CORNELSHED_DEMO_TEMPORARYFOLDER_H

#include <string>

namespace cornelshed::demo {

class TemporaryFolder
{
public:
    TemporaryFolder(); // throws std::runtime_error
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] std::string file(const std::string &name) const { return m_path + '/' + name; }
    void write(const std::string &name, const std::string &text) const;
    [[nodiscard]] std::string read(const std::string &name) const; // empty if it is absent

    // Leaves the folder behind, for a look at the logs after a failure.
    void keep() { m_keep = true; }

private:
    std::string m_path;
    bool m_keep = false;
};

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_TEMPORARYFOLDER_H
