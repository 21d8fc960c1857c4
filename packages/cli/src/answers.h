// Common treatment of the daemons' answers.

#ifndef CLI_ANSWERS_H_
#define CLI_ANSWERS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "api_client.h"
#include "context.h"

namespace azurespur::cli {

// Reports a call without an answer and returns the exit code that fits.
ExitCode ReportNoAnswer(Context& context, const base::Error& error);

// Reports an answer whose status is no success.
ExitCode ReportRefusal(Context& context, const ApiAnswer& answer);

// GETs `path`. Returns false, after reporting, unless the answer is 200 with a
// JSON object; `exit_code` then says why.
bool Fetch(Context& context,
           const std::string& path,
           nlohmann::json& body,
           ExitCode& exit_code);

// The field as text: strings without quotes, "-" if absent, null or empty.
std::string FieldText(const nlohmann::json& object, const std::string& field);

// "2026-01-31 12:00:00Z" of milliseconds since the Unix epoch; "-" for 0.
std::string TimeText(int64_t wall_ms);

// Pretty JSON and a newline.
void PrintJson(Context& context, const nlohmann::json& value);

}  // namespace azurespur::cli

#endif  // CLI_ANSWERS_H_
