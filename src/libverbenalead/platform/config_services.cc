#include "platform/config_services.h"

#include <boost/json.hpp>

#include "platform/json_read.h"

namespace verbenalead::platform {

std::string ServicesOnly(std::string_view config) {
  auto object = ReadObject(config);
  if (!object)
    return std::string(config);
  object->erase("routes");
  object->erase("tenants");
  return boost::json::serialize(*object);
}

}  // namespace verbenalead::platform
