#include "daemon/config_messages.h"

#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "model/json_fields.h"

namespace verbenalead::daemon {

namespace json = boost::json;

std::string ConfigSince(const ConfigKeeper& keeper, uint64_t revision) {
  const auto changes = keeper.ChangesAfter(revision);
  if (!changes) {
    return json::serialize(
        json::object{{"state", decide::ToJson(*keeper.current())}});
  }
  json::array list;
  for (const model::Change& change : *changes)
    list.emplace_back(model::ToJson(change));
  return json::serialize(json::object{{"changes", std::move(list)}});
}

Result<void> TakeConfig(ConfigKeeper& keeper, std::string_view text) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "configuration"));
  if (object.contains("state")) {
    BOOST_LEAF_AUTO(state_text, model::TextField(object, "state"));
    BOOST_LEAF_AUTO(state, decide::ParseConfigState(state_text));
    keeper.OfferState(std::move(state));
    return {};
  }
  const json::value* list = object.if_contains("changes");
  if (list == nullptr || !list->is_array())
    return model::BadField("changes", "a list");
  std::vector<model::Change> changes;
  for (const json::value& item : list->get_array()) {
    if (!item.is_string())
      return model::BadField("changes", "a list of texts");
    BOOST_LEAF_AUTO(change, model::ParseChange(std::string(item.get_string())));
    changes.push_back(std::move(change));
  }
  keeper.Offer(changes);
  return {};
}

Awaitable<AsyncResult<bool>> FetchConfig(ConfigKeeper& keeper,
                                         wire::Client& peers,
                                         Endpoint endpoint,
                                         Duration timeout) {
  wire::Request request;
  request.m_path =
      "/v1/config?after=" + std::to_string(keeper.current()->m_revision);
  auto response = co_await wire::Fetch(peers, std::move(endpoint),
                                       std::move(request), Now() + timeout);
  if (!response)
    co_return response.error();
  auto taken =
      CatchFailure([&] { return TakeConfig(keeper, response->m_body); });
  if (!taken)
    co_return taken.error();
  co_return true;
}

}  // namespace verbenalead::daemon
