#include "wire/request.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace verbenalead::wire {

std::string PathOf(const Request& request) {
  return request.m_path.substr(0, request.m_path.find('?'));
}

std::string QueryValue(const Request& request, const std::string& name) {
  auto parsed = boost::urls::parse_origin_form(request.m_path);
  if (!parsed)
    return "";
  for (const auto& parameter : parsed->params()) {
    if (parameter.key == name)
      return std::string(parameter.value);
  }
  return "";
}

}  // namespace verbenalead::wire
