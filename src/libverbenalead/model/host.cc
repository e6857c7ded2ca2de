#include "model/host.h"

#include <boost/json.hpp>

#include "model/host_builder.h"
#include "model/json_fields.h"

namespace verbenalead::model {
namespace {

namespace json = boost::json;

Result<Host> ReadHost(const json::object& labels, const std::string& address) {
  BOOST_LEAF_AUTO(peer, ParseEndpoint(address));
  BOOST_LEAF_AUTO(name, TextField(labels, "host"));
  BOOST_LEAF_AUTO(role, TextField(labels, "role"));
  BOOST_LEAF_AUTO(region, TextFieldOr(labels, "region", ""));
  BOOST_LEAF_AUTO(data_center, TextFieldOr(labels, "data_center", ""));
  BOOST_LEAF_AUTO(pool, TextFieldOr(labels, "pool", ""));
  BOOST_LEAF_AUTO(callers, TextFieldOr(labels, "callers", ""));
  BOOST_LEAF_AUTO(state, TextFieldOr(labels, "state", "live"));
  HostBuilder builder;
  builder.Name(name).Region(region).DataCenter(data_center).Pool(pool);
  builder.Role(role == "entry" ? HostRole::kEntry : HostRole::kTarget);
  builder.Peer(peer).Leaving(state == "leaving");
  if (!callers.empty()) {
    BOOST_LEAF_AUTO(endpoint, ParseEndpoint(callers));
    builder.Callers(endpoint);
  }
  return builder.Build();
}

}  // namespace

Result<std::vector<Host>> ParseHostList(std::string_view text) {
  boost::system::error_code error;
  json::value document = json::parse(text, error);
  if (error || !document.is_array())
    return BadField("host list", "a list of target groups");
  std::vector<Host> hosts;
  for (const json::value& group : document.get_array()) {
    if (!group.is_object())
      return BadField("host list", "a list of target groups");
    const json::value* targets = group.get_object().if_contains("targets");
    const json::value* labels = group.get_object().if_contains("labels");
    if (!targets || !targets->is_array() || !labels || !labels->is_object())
      return BadField("host list", "groups with 'targets' and 'labels'");
    for (const json::value& target : targets->get_array()) {
      if (!target.is_string())
        return BadField("targets", "a list of IP:port");
      BOOST_LEAF_AUTO(host, ReadHost(labels->get_object(),
                                     std::string(target.get_string())));
      hosts.push_back(std::move(host));
    }
  }
  return hosts;
}

}  // namespace verbenalead::model
