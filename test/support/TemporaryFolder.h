#pragma once

#include <filesystem>
#include <string>
#include <unistd.h>

namespace Hibiscus::Fake {

/** \brief A temporary folder that is removed at the end of a test. */
class TemporaryFolder
{
public:
    TemporaryFolder()
        : path(std::filesystem::temp_directory_path()
               / ("hibiscus-storage-" + std::to_string(::getpid()) + "-"
                  + std::to_string(++createdCount)))
    {
        std::filesystem::remove_all(this->path);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(this->path); }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::filesystem::path path;

private:
    static inline int createdCount = 0;
};

} // namespace Hibiscus::Fake
