// Result values: a value of type T or an Error.

#ifndef BASE_OUTCOME_H_
#define BASE_OUTCOME_H_

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace azurespur::base {

enum class ErrorCode {
  kInvalid,      // The input is wrong; repeating it does not help.
  kNotFound,     // The named thing does not exist.
  kConflict,     // The state changed meanwhile.
  kUnavailable,  // Had no effect; may be repeated.
  kUnknown,      // May have had an effect.
  kExhausted,    // A limit was reached; had no effect.
};

struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string message;
};

// The value of operations that return nothing.
struct Unit {};

template <typename T>
using Outcome = std::variant<T, Error>;

template <typename T>
bool Ok(const Outcome<T>& outcome) {
  return std::holds_alternative<T>(outcome);
}

// The value; the outcome must hold one.
template <typename T>
T& Value(Outcome<T>& outcome) {
  return std::get<T>(outcome);
}

template <typename T>
const T& Value(const Outcome<T>& outcome) {
  return std::get<T>(outcome);
}

template <typename T>
T&& Value(Outcome<T>&& outcome) {
  return std::get<T>(std::move(outcome));
}

// The error; the outcome must hold one.
template <typename T>
const Error& GetError(const Outcome<T>& outcome) {
  return std::get<Error>(outcome);
}

// Stable lower-case name of `code`, for messages and JSON.
std::string_view ErrorCodeName(ErrorCode code);

}  // namespace azurespur::base

#endif  // BASE_OUTCOME_H_
