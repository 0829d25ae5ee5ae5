#pragma once

#include <Hibiscus/Replication>

#include <filesystem>

namespace Hibiscus {

/** \brief The durable state of a replica in one file under its data folder.
 *
 * Records carry a checksum. A record that a crash tore at the end of the file was never
 * acknowledged and is dropped; a damaged record elsewhere is an error.
 */
class DiskLog
{
public:
    /** \brief Writes the first state into an empty \a folder.
     * \returns Errc::Io if the folder already holds a log or cannot be written.
     */
    static Result<void> format(const std::filesystem::path &folder, const DurableState &state);
    /** \returns whether \a folder holds a log. */
    static bool exists(const std::filesystem::path &folder);
    /** \brief Opens the log in \a folder, which no other process may have open.
     * \returns Errc::Io if there is none, Errc::MalformedRecord if it is damaged.
     */
    static Result<DiskLog> open(const std::filesystem::path &folder);

    DiskLog(DiskLog &&other) noexcept;
    DiskLog &operator=(DiskLog &&other) noexcept;
    ~DiskLog();

    // Commands.
    /** \brief Appends \a writes; they are durable after the next sync(), which has to come before
     * the next write() if a loss of power may tear what is not synced.
     */
    Result<void> write(const std::vector<StorageWrite> &writes);
    Result<void> sync();

    // Queries.
    const DurableState &state() const { return this->durable; }
    bool hasUnsyncedWrites() const { return this->dirty; }

private:
    DiskLog(std::filesystem::path folder, int file, DurableState state);

    Result<void> rewrite();

    std::filesystem::path folder;
    int file = -1;
    DurableState durable;
    bool dirty = false;
};

} // namespace Hibiscus
