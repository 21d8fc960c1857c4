// Identifier of a job: 16 lower-case hexadecimal digits chosen by the caller.

#ifndef JOBS_JOB_ID_H_
#define JOBS_JOB_ID_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurespur::jobs {

using JobId = uint64_t;

std::string FormatJobId(JobId id);

// Returns nothing unless `text` is exactly 16 lower-case hexadecimal digits.
std::optional<JobId> ParseJobId(std::string_view text);

}  // namespace azurespur::jobs

#endif  // JOBS_JOB_ID_H_
