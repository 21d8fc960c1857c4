// Input archive for data that cereal::PortableBinaryOutputArchive wrote on a
// little-endian host.

#ifndef WIRE_BOUNDED_INPUT_ARCHIVE_H_
#define WIRE_BOUNDED_INPUT_ARCHIVE_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>

namespace azurespur::wire {

// Reads straight from the bytes. A length that the remaining bytes can't hold
// is an error before memory is taken for it, so a malformed message costs no
// more memory than a valid one of its size.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  // `bytes` must outlive the archive. Throws cereal::Exception, as all reads
  // do, if the data is malformed.
  explicit BoundedInputArchive(std::string_view bytes)
      : cereal::InputArchive<BoundedInputArchive,
                             cereal::AllowEmptyClassElision>(this),
        m_rest(bytes) {
    uint8_t little_endian = 0;
    Read(&little_endian, sizeof(little_endian));
    if (little_endian != 1) {
      throw cereal::Exception("byte order is not little-endian");
    }
  }

  void Read(void* data, size_t size) {
    if (size > m_rest.size()) {
      throw cereal::Exception("Failed to read " + std::to_string(size) +
                              " bytes from input stream! Read " +
                              std::to_string(m_rest.size()));
    }
    std::memcpy(data, m_rest.data(), size);
    m_rest.remove_prefix(size);
  }

  // What was not read yet.
  std::string_view rest() const { return m_rest; }

  // Each element takes at least one byte.
  void CheckCount(uint64_t count) const {
    if (count > m_rest.size()) {
      throw cereal::Exception(std::to_string(count) + " elements in " +
                              std::to_string(m_rest.size()) + " bytes");
    }
  }

 private:
  std::string_view m_rest;
};

// The functions that cereal calls for an archive; it fixes their names.

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value) {
  archive.Read(std::addressof(value), sizeof(value));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,
                                    cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.CheckCount(tag.size);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.Read(data.data, static_cast<size_t>(data.size));
}

}  // namespace azurespur::wire

namespace cereal::traits::detail {

// Tells cereal which archive writes what this one reads.
template <>
struct get_output_from_input<azurespur::wire::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

}  // namespace cereal::traits::detail

#endif  // WIRE_BOUNDED_INPUT_ARCHIVE_H_
