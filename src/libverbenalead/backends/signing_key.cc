#include "backends/signing_key.h"

#include <boost/json.hpp>
#include <fstream>
#include <sstream>

#include "model/json_fields.h"

namespace verbenalead::backends {

Result<SigningKey> LoadSigningKey(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return boost::leaf::new_error(Failure{FailureCode::kNotFound,
                                          "read credentials", "",
                                          path + " can't be opened"});
  }
  std::stringstream text;
  text << file.rdbuf();
  BOOST_LEAF_AUTO(object, model::ParseObject(text.str(), "credentials"));
  SigningKey key;
  BOOST_LEAF_ASSIGN(key.m_access_key, model::TextField(object, "access_key"));
  BOOST_LEAF_ASSIGN(key.m_secret, model::TextField(object, "secret"));
  BOOST_LEAF_ASSIGN(key.m_service_region, model::TextField(object, "region"));
  return key;
}

}  // namespace verbenalead::backends
