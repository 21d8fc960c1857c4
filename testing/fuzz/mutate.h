// Seeded mutations of valid input, for tests that decoders survive any bytes.

#ifndef TESTING_FUZZ_MUTATE_H_
#define TESTING_FUZZ_MUTATE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>

namespace azurespur::testing {

// Rounds of each fuzz test: AZURESPUR_FUZZ_ROUNDS, or a few seconds' worth.
inline int FuzzRounds() {
  constexpr int kDefault = 4000;
  const char* text = std::getenv("AZURESPUR_FUZZ_ROUNDS");
  const int rounds = text != nullptr ? std::atoi(text) : 0;
  return rounds > 0 ? rounds : kDefault;
}

// AZURESPUR_FUZZ_SEED, or always the same.
inline uint64_t FuzzSeed() {
  const char* text = std::getenv("AZURESPUR_FUZZ_SEED");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : 1;
}

class Mutator {
 public:
  explicit Mutator(uint64_t seed) : m_random(seed) {}

  // `text` with a few bytes or words changed, added or removed.
  std::string Mutate(std::string text) {
    for (size_t i = 0, changes = 1 + Pick(4); i < changes; ++i) {
      MutateOnce(text);
    }
    return text;
  }

 private:
  // What decoders of numbers and of nested values tend to get wrong.
  static constexpr std::array<std::string_view, 16> kWords = {
      "-1",    "0",     "65536",  "2147483648", "9223372036854775808",
      "1e300", "1e999", "-1e300", "null",       "{}",
      "[]",    "[[[[",  "\"",     "\xff\xfe",   "\\ud800",
      ":0"};

  size_t Pick(size_t end) { return m_random() % end; }

  void MutateOnce(std::string& text) {
    const size_t at = Pick(text.size() + 1);
    const size_t length = std::min(Pick(12), text.size() - at);
    switch (Pick(5)) {
      case 0:
        text.insert(at, 1, static_cast<char>(m_random()));
        return;
      case 1:
        text.erase(at, length);
        return;
      case 2:
        text.replace(at, length, kWords[Pick(kWords.size())]);
        return;
      case 3:
        text.insert(at, text.substr(Pick(text.size() + 1), Pick(200)));
        return;
      default:
        if (at < text.size()) {
          text[at] = static_cast<char>(m_random());
        }
    }
  }

  std::mt19937_64 m_random;
};

// Calls `decode` with so many mutations of `valid`.
template <typename Decode>
void FuzzDecoder(const std::string& valid, Decode decode) {
  Mutator mutator(FuzzSeed());
  for (int i = 0; i < FuzzRounds(); ++i) {
    decode(mutator.Mutate(valid));
  }
}

}  // namespace azurespur::testing

#endif  // TESTING_FUZZ_MUTATE_H_
