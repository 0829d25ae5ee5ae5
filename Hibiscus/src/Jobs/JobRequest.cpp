#include "Hibiscus/src/Jobs/JobRequest.h"

#include <xxhash.h>

namespace Hibiscus {

std::uint64_t JobRequest::contentHash() const
{
    // A resubmission may carry a later deadline, so the hash excludes it.
    JobRequest work = *this;
    work.deadline = TimePoint();
    const Bytes bytes = encode(work);
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace Hibiscus
