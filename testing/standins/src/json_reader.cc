#include "standins/json_reader.h"

namespace azurespur::standins {

JsonReader::JsonReader(std::string_view text) {
  m_object = text.empty() ? nlohmann::json::object()
                          : nlohmann::json::parse(text, nullptr, false);
  if (!m_object.is_object()) {
    m_error = "body is no JSON object";
    m_object = nlohmann::json::object();
  }
}

const nlohmann::json* JsonReader::Find(const std::string& name) {
  m_known.insert(name);
  const auto it = m_object.find(name);
  return it == m_object.end() ? nullptr : &*it;
}

void JsonReader::Fail(const std::string& name,
                      std::string_view wanted,
                      const nlohmann::json& got) {
  if (!m_error) {
    m_error = "field \"" + name + "\": expected " + std::string(wanted) +
              ", got " +
              got.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  }
}

JsonReader& JsonReader::Read(const std::string& name, int64_t& value) {
  if (const nlohmann::json* field = Find(name)) {
    if (field->is_number_integer() && field->get<int64_t>() >= 0) {
      value = field->get<int64_t>();
    } else {
      Fail(name, "a non-negative integer", *field);
    }
  }
  return *this;
}

JsonReader& JsonReader::Read(const std::string& name, bool& value) {
  if (const nlohmann::json* field = Find(name)) {
    if (field->is_boolean()) {
      value = field->get<bool>();
    } else {
      Fail(name, "true or false", *field);
    }
  }
  return *this;
}

JsonReader& JsonReader::Read(const std::string& name, double& value) {
  if (const nlohmann::json* field = Find(name)) {
    if (field->is_number()) {
      value = field->get<double>();
    } else {
      Fail(name, "a number", *field);
    }
  }
  return *this;
}

JsonReader& JsonReader::Read(const std::string& name, std::string& value) {
  if (const nlohmann::json* field = Find(name)) {
    if (field->is_string()) {
      value = field->get<std::string>();
    } else {
      Fail(name, "a string", *field);
    }
  }
  return *this;
}

JsonReader& JsonReader::Read(const std::string& name,
                             std::vector<std::string>& value) {
  const nlohmann::json* field = Find(name);
  if (field == nullptr) {
    return *this;
  }
  if (!field->is_array()) {
    Fail(name, "an array of strings", *field);
    return *this;
  }
  for (const nlohmann::json& item : *field) {
    if (!item.is_string()) {
      Fail(name, "an array of strings", *field);
      return *this;
    }
    value.push_back(item.get<std::string>());
  }
  return *this;
}

JsonReader& JsonReader::Require(const std::string& name) {
  if (Find(name) == nullptr && !m_error) {
    m_error = "field \"" + name + "\" is missing";
  }
  return *this;
}

std::optional<std::string> JsonReader::Finish() {
  for (const auto& [name, value] : m_object.items()) {
    if (!m_error && m_known.count(name) == 0) {
      m_error = "field \"" + name + "\" is unknown";
    }
  }
  return m_error;
}

}  // namespace azurespur::standins
