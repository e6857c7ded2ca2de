#include "base/settings.h"

namespace verbenalead {

bool Settings::Flag(const std::string& key) const {
  return std::get<bool>(m_values.at(key));
}

int64_t Settings::Integer(const std::string& key) const {
  return std::get<int64_t>(m_values.at(key));
}

double Settings::Number(const std::string& key) const {
  return std::get<double>(m_values.at(key));
}

Duration Settings::Milliseconds(const std::string& key) const {
  return std::chrono::milliseconds(Integer(key));
}

const std::string& Settings::Text(const std::string& key) const {
  return std::get<std::string>(m_values.at(key));
}

const std::vector<std::string>& Settings::TextList(
    const std::string& key) const {
  return std::get<std::vector<std::string>>(m_values.at(key));
}

Endpoint Settings::Address(const std::string& key) const {
  const std::string& text = Text(key);
  return text.empty() ? Endpoint() : ParseEndpoint(text).value();
}

std::vector<Endpoint> Settings::AddressList(const std::string& key) const {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : TextList(key))
    endpoints.push_back(ParseEndpoint(text).value());
  return endpoints;
}

}  // namespace verbenalead
