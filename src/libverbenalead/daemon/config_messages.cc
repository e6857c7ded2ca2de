#include "daemon/config_messages.h"

#include <boost/json.hpp>
#include <cstdlib>

#include "base/catch_failure.h"
#include "model/json_fields.h"
#include "peer/header_names.h"
#include "wire/request_target.h"

namespace verbenalead::daemon {

namespace json = boost::json;

namespace {

constexpr char kConfigPath[] = "/v1/config";

}  // namespace

std::string SerialiseConfigAfter(const ConfigStore& store, uint64_t revision) {
  const auto changes = store.ChangesAfter(revision);
  if (!changes) {
    return json::serialize(
        json::object{{"state", decide::ToJson(*store.current())}});
  }
  json::array list;
  for (const model::Change& change : *changes)
    list.emplace_back(model::ToJson(change));
  return json::serialize(json::object{{"changes", std::move(list)}});
}

Result<void> ApplyConfig(ConfigStore& store, std::string_view text) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "configuration"));
  if (object.contains("state")) {
    BOOST_LEAF_AUTO(state_text, model::TextField(object, "state"));
    BOOST_LEAF_AUTO(state, decide::ParseConfigState(state_text));
    store.ApplyState(std::move(state));
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
  store.ApplyChanges(changes);
  return {};
}

Awaitable<AsyncResult<bool>> FetchConfig(ConfigStore& store,
                                         wire::Client& peers,
                                         Endpoint endpoint,
                                         Duration hold,
                                         Duration timeout) {
  wire::Request request;
  wire::RequestTarget target(kConfigPath);
  target.Field("after", store.current()->m_revision)
      .Field("hold_ms", static_cast<uint64_t>(ToMilliseconds(hold)));
  if (hold == Duration::zero())
    target.Field("fresh", 1);
  request.m_path = target.Build();
  auto response = co_await wire::Fetch(peers, endpoint, std::move(request),
                                       Now() + hold + timeout);
  if (!response)
    co_return response.error();
  if (response->m_status != 200) {
    co_return Failure{FailureCode::kRefused, "fetch configuration",
                      ToString(endpoint), response->m_body};
  }
  auto applied =
      CatchFailure([&] { return ApplyConfig(store, response->m_body); });
  if (!applied)
    co_return applied.error();
  co_return !wire::Get(response->m_headers, peer::kFromTable).empty();
}

Awaitable<AsyncResult<bool>> PushConfig(const ConfigStore& store,
                                        wire::Client& peers,
                                        Endpoint endpoint,
                                        uint64_t revision,
                                        TimePoint deadline) {
  // The first message contains only the last change. A process that lacks
  // earlier ones answers with its revision, and the second message contains all
  // changes after that.
  uint64_t peer_revision = revision - 1;
  for (int attempt = 0; attempt < 2; ++attempt) {
    wire::Request request;
    request.m_method = "POST";
    request.m_path = kConfigPath;
    request.m_body = SerialiseConfigAfter(store, peer_revision);
    auto response =
        co_await wire::Fetch(peers, endpoint, std::move(request), deadline);
    if (!response)
      co_return response.error();
    peer_revision = std::strtoull(response->m_body.c_str(), nullptr, 10);
    if (response->m_status == 200 && peer_revision >= revision)
      co_return true;
  }
  co_return Failure{FailureCode::kRefused, "push configuration",
                    ToString(endpoint),
                    "stands at revision " + std::to_string(peer_revision)};
}

}  // namespace verbenalead::daemon
