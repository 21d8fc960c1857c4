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
  return wire::Decode<IntakeRecord>(bytes);
}

base::Outcome<WorkRecord> DecodeWork(std::string_view bytes) {
  return wire::Decode<WorkRecord>(bytes);
}

}  // namespace azurespur::jobs
