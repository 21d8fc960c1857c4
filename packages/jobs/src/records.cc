#include "jobs/records.h"

#include "wire/codec.h"

namespace azurespur::jobs {

std::string EncodeIntake(const IntakeRecord& record) {
  return wire::Encode(record);
}

std::string EncodeWork(const WorkRecord& record) {
  return wire::Encode(record);
}

base::Outcome<IntakeRecord> DecodeIntake(std::string_view bytes) {
  auto record = wire::Decode<IntakeRecord>(bytes);
  if (base::Ok(record)) {
    const auto* spec = std::get_if<JobSpec>(&base::Value(record));
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
