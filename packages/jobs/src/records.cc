#include "jobs/records.h"

#include <cmath>

#include "wire/codec.h"

namespace azurespur::jobs {

namespace {

// Null if the record submits no job.
const JobSpec* SpecOf(const IntakeRecord& record) {
  if (const auto* received = std::get_if<ReceivedSubmission>(&record)) {
    return &received->submission.spec;
  }
  if (const auto* submission = std::get_if<Submission>(&record)) {
    return &submission->spec;
  }
  return std::get_if<JobSpec>(&record);
}

// Sets the account that follows the submission's bytes. Returns what is wrong
// with it, or an empty string.
std::string ReadAccountTerms(std::string_view bytes, JobSpec& spec) {
  const auto decoded = wire::Decode<AccountTerms>(bytes);
  if (!base::Ok(decoded)) {
    return base::GetError(decoded).message;
  }
  const AccountTerms& terms = base::Value(decoded);
  if (!std::isfinite(terms.submissions_per_s) || terms.submissions_per_s < 0) {
    return "rate " + std::to_string(terms.submissions_per_s) +
           " is not 0 or more";
  }
  spec.account = terms.account;
  spec.account_rate = terms.submissions_per_s;
  return {};
}

}  // namespace

JobId JobOf(const IntakeRecord& record) {
  if (const JobSpec* spec = SpecOf(record)) {
    return spec->id;
  }
  if (const auto* missing = std::get_if<MissingJobRecord>(&record)) {
    return missing->job;
  }
  return std::get<CancelRecord>(record).job;
}

bool SubmitsJob(const IntakeRecord& record) {
  return SpecOf(record) != nullptr;
}

std::string EncodeIntake(const IntakeRecord& record) {
  std::string bytes = wire::Encode(record);
  const JobSpec* spec = SpecOf(record);
  if (spec != nullptr && !spec->account.empty()) {
    bytes += wire::Encode(AccountTerms{spec->account, spec->account_rate});
  }
  return bytes;
}

std::string EncodeWork(const WorkRecord& record) {
  std::string bytes = wire::Encode(record);
  const auto* heartbeat = std::get_if<HeartbeatRecord>(&record);
  if (heartbeat != nullptr && heartbeat->settled_binds) {
    bytes += wire::Encode(*heartbeat->settled_binds);
  }
  const auto* bind = std::get_if<BindRecord>(&record);
  if (bind != nullptr && !bind->address.empty()) {
    bytes += wire::Encode(bind->address);
  }
  return bytes;
}

base::Outcome<IntakeRecord> DecodeIntake(std::string_view bytes) {
  std::string_view rest;
  auto record = wire::DecodePrefix<IntakeRecord>(bytes, rest);
  if (!base::Ok(record)) {
    return record;
  }
  const JobSpec* spec = SpecOf(base::Value(record));
  if (spec != nullptr && !IsValid(*spec)) {
    return base::Error{
        base::ErrorCode::kInvalid,
        "steps of job " + FormatJobId(spec->id) + " are not valid"};
  }
  auto* received = std::get_if<ReceivedSubmission>(&base::Value(record));
  if (received != nullptr && !rest.empty()) {
    JobSpec& submitted = received->submission.spec;
    const std::string problem = ReadAccountTerms(rest, submitted);
    if (!problem.empty()) {
      return base::Error{
          base::ErrorCode::kInvalid,
          "account of job " + FormatJobId(submitted.id) + ": " + problem};
    }
  }
  return record;
}

base::Outcome<WorkRecord> DecodeWork(std::string_view bytes) {
  std::string_view rest;
  auto record = wire::DecodePrefix<WorkRecord>(bytes, rest);
  if (!base::Ok(record)) {
    return record;
  }
  auto* heartbeat = std::get_if<HeartbeatRecord>(&base::Value(record));
  if (heartbeat != nullptr && !rest.empty()) {
    const auto settled = wire::Decode<uint64_t>(rest);
    if (!base::Ok(settled)) {
      return base::GetError(settled);
    }
    heartbeat->settled_binds = base::Value(settled);
  }
  auto* bind = std::get_if<BindRecord>(&base::Value(record));
  if (bind != nullptr && !rest.empty()) {
    auto address = wire::Decode<std::string>(rest);
    if (!base::Ok(address)) {
      return base::GetError(address);
    }
    bind->address = base::Value(std::move(address));
  }
  return record;
}

}  // namespace azurespur::jobs
