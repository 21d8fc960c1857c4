#include "slot_precedence.h"

#include <cstdint>

namespace azurespur::control {

namespace {

// 64-bit FNV-1a with a final mix (splitmix64); equal on every VM and build.
constexpr uint64_t kOffsetBasis = 14695981039346656037ULL;
constexpr uint64_t kPrime = 1099511628211ULL;

uint64_t AddBytes(uint64_t hash, std::string_view bytes) {
  for (const char c : bytes) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return (hash ^ 0xFF) * kPrime;  // Ends the string.
}

uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31);
}

uint64_t Weight(std::string_view vm, std::string_view executor, int slot) {
  uint64_t hash = AddBytes(kOffsetBasis, vm);
  hash = AddBytes(hash, executor);
  hash = (hash ^ static_cast<uint64_t>(slot)) * kPrime;
  return Mix(hash);
}

}  // namespace

bool Precedes(std::string_view a,
              std::string_view b,
              std::string_view executor,
              int slot) {
  const uint64_t weight_a = Weight(a, executor, slot);
  const uint64_t weight_b = Weight(b, executor, slot);
  return weight_a != weight_b ? weight_a > weight_b : a < b;
}

}  // namespace azurespur::control
