#pragma once

#include <Hibiscus/Replication>

#include <filesystem>

namespace Hibiscus {

/** \brief The durable state of a replica in one file under its data folder.
 *
 * Records carry a checksum. A torn record at the end of the file, left by a crash, was never
 * acknowledged and is dropped; a damaged record elsewhere is an error.
 */
class DiskLog
{
public:
    /** \brief Creates the log in \a folder with \a state as its initial state.
     * \returns Errc::Io if the folder already holds a log or cannot be written.
     */
    static Result<void> format(const std::filesystem::path &folder, const DurableState &state);
    /** \returns whether \a folder holds a log. */
    static bool exists(const std::filesystem::path &folder);
    /** \brief Opens and locks the log in \a folder.
     * \returns Errc::Io if there is none or another process has it open, Errc::MalformedRecord if
     * it is damaged.
     */
    static Result<DiskLog> open(const std::filesystem::path &folder);

    DiskLog(DiskLog &&other) noexcept;
    DiskLog &operator=(DiskLog &&other) noexcept;
    ~DiskLog();

    // Commands.
    /** \brief Appends \a writes as one record; they are durable after the next sync().
     *
     * If power may be lost, call sync() before the next write(), so that only the last record can
     * be incomplete.
     */
    Result<void> write(const std::vector<StorageWrite> &writes);
    Result<void> sync();

    // Queries.
    const DurableState &state() const { return this->durable; }
    bool hasUnsyncedWrites() const { return this->isDirty; }

private:
    DiskLog(std::filesystem::path folder, int file, DurableState state);

    Result<void> rewrite();

    std::filesystem::path folder;
    int file = -1;
    DurableState durable;
    bool isDirty = false;
};

} // namespace Hibiscus
