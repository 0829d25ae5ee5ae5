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
     * \returns Errc::Io if the folder already holds a log, else the error of the system.
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
     * A failure leaves the log as it was, and the same writes may be written again. If power may be
     * lost, call sync() before the next write(), so that only the last record can be incomplete.
     * \returns the error of the system.
     */
    Result<void> write(const std::vector<StorageWrite> &writes);
    /** \brief Makes all written records durable; after a failure, the next call writes them again.
     * \returns the error of the system.
     */
    Result<void> sync();

    // Queries.
    /** \returns the state with all written records, whether synced or not. */
    const DurableState &state() const { return this->durable; }
    bool hasUnsyncedWrites() const { return !this->unsyncedRecords.empty() || this->folderError; }

private:
    DiskLog(std::filesystem::path folder, int file, std::uint64_t bytes, DurableState state);

    Result<void> writeWithSnapshot(const std::vector<StorageWrite> &writes);
    Result<void> append(const Bytes &record);
    Result<void> restoreTail();
    Result<void> rewrite(const DurableState &state);
    Result<void> syncReplacement();

    std::filesystem::path folder;
    int file = -1;
    DurableState durable;
    std::uint64_t syncedBytes = 0; ///< length of the synced part of the file
    Bytes unsyncedRecords; ///< the records behind it
    bool isTailIntact = true; ///< the file ends with unsyncedRecords, and no sync of them failed
    std::error_code folderError; ///< of the last sync of the folder; set while the name of the
                                 ///< file may not be durable
};

} // namespace Hibiscus
