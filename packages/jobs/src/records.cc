#include "jobs/records.h"

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
  return wire::Encode(record);
}

std::string EncodeWork(const WorkRecord& record) {
  return wire::Encode(record);
}

base::Outcome<IntakeRecord> DecodeIntake(std::string_view bytes) {
  auto record = wire::Decode<IntakeRecord>(bytes);
  if (base::Ok(record)) {
    const JobSpec* spec = SpecOf(base::Value(record));
    if (spec != nullptr && !IsValid(*spec)) {
      return base::Error{
          base::ErrorCode::kInvalid,
          "steps of job " + FormatJobId(spec->id) + " are not valid"};
    }
  }
  return record;
}

base::Outcome<WorkRecord> DecodeWork(std::string_view bytes) {
  return wire::Decode<WorkRecord>(bytes);
}

}  // namespace azurespur::jobs
