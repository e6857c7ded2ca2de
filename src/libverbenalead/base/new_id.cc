#include "base/new_id.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace verbenalead {

std::string NewId() {
  static thread_local boost::uuids::random_generator generator;
  return boost::uuids::to_string(generator());
}

}  // namespace verbenalead
