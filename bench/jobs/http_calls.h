// Processor time of the HTTP client for each order to a worker.

#ifndef BENCH_JOBS_HTTP_CALLS_H_
#define BENCH_JOBS_HTTP_CALLS_H_

namespace azurespur::jobs {

// Makes `calls` posts, some at a time, to a server in a process of its own.
// Returns the microseconds of processor time of this process for each.
double MicrosPerCall(int calls, bool fresh);

}  // namespace azurespur::jobs

#endif  // BENCH_JOBS_HTTP_CALLS_H_
