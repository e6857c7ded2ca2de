#ifndef VERBENALEAD_ENTRY_CALL_FIXTURE_H_
#define VERBENALEAD_ENTRY_CALL_FIXTURE_H_

#include <cppunit/TestFixture.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/boot_clock.h"
#include "entry/call_server.h"
#include "platform/names.h"
#include "wire/recording_writer.h"
#include "wire/scripted_client.h"

namespace verbenalead::entry {

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

inline wire::ResponseHead Head(int status = 200) {
  return {status, {{platform::kRequestId, "call-1"}, {platform::kStamp, "s"}}};
}

inline wire::ScriptedAnswer Answer(int status,
                                   std::vector<std::string> pieces,
                                   bool breaks = false) {
  wire::ScriptedAnswer answer;
  answer.m_head = Head(status);
  answer.m_pieces = std::move(pieces);
  answer.m_breaks_at_end = breaks;
  return answer;
}

inline wire::ScriptedAnswer NotRun() {
  wire::ScriptedAnswer answer = Answer(503, {});
  answer.m_head.m_headers[platform::kNotExecuted] = "1";
  return answer;
}

inline wire::ScriptedAnswer Broken() {
  wire::ScriptedAnswer answer;
  answer.m_failure = FailureCode::kBroken;
  return answer;
}

inline model::Route MakeRoute(const std::string& prefix, model::CallKind kind) {
  model::Route route;
  route.m_name = prefix;
  route.m_host = "h";
  route.m_path_prefix = prefix;
  route.m_kind = kind;
  route.m_services = {{"pool", 1}};
  route.m_timeout = 6s;
  route.m_objective = 100ms;
  route.m_max_attempts = 2;
  route.m_resumable = true;
  return route;
}

inline EntryOptions Options() {
  EntryOptions options;
  options.m_own_address = {"e1", "a", Endpoint("127.0.0.1", 1),
                           Endpoint("127.0.0.1", 0)};
  options.m_key_bound = 5s;
  options.m_weights_bound = 8s;
  options.m_regions = {{"a", "east"}, {"b", "west"}};
  return options;
}

/// An answer that comes after any entry has begun to hedge.
inline wire::ScriptedAnswer Silent() {
  wire::ScriptedAnswer answer = Answer(200, {"late"});
  answer.m_head_delay = 2s;
  return answer;
}

/// An entry with one organisation and `kReplicas` scripted replicas of four
/// slots each.
class CallFixture : public CppUnit::TestFixture {
 public:
  static constexpr size_t kReplicas = 4;

  void setUp() override {
    m_state = std::make_unique<EntryState>(Options());
    // Long enough ago to have earned the whole share of retries.
    m_state->m_started_at = Now() - std::chrono::hours(1);
    m_io = std::make_unique<boost::asio::io_context>();
    m_datagrams = std::make_unique<links::DatagramSocket>(
        m_io->get_executor(), Endpoint("127.0.0.1", 0));
    m_slot_requester = std::make_unique<SlotRequester>(*m_state, *m_datagrams);
    m_slot_allocator = std::make_unique<SlotAllocator>(
        *m_state, *m_slot_requester, [](const decide::ReplicaState&) {});
    m_server =
        std::make_unique<CallServer>(*m_state, *m_slot_allocator, m_replicas);
    model::RoutingConfig config;
    config.m_version = 1;
    config.m_routes = {MakeRoute("/stream/", model::CallKind::kStream),
                       MakeRoute("/read/", model::CallKind::kIdempotent),
                       MakeRoute("/pay/", model::CallKind::kAtMostOnce)};
    config.m_organisations = {{"acme", {"key"}, std::nullopt}};
    m_state->m_routes = std::make_shared<decide::RouteTable>(config);
    m_state->m_replicas_known = true;
    // The store lists no other entries.
    m_state->m_remote_entries = 0;
    decide::RenewLease(m_state->m_lease, BootNow());
    std::vector<model::Replica> replicas(kReplicas);
    for (size_t i = 0; i < replicas.size(); ++i) {
      replicas[i].m_id = "i-" + std::to_string(i);
      replicas[i].m_service = "pool";
      replicas[i].m_slots = 4;
      replicas[i].m_endpoint = Endpoint("10.0.0.1", 80);
    }
    decide::SetReplicas(GetOrCreateService(*m_state, "pool").m_pool, replicas,
                        TimePoint(), Now());
  }

  void tearDown() override {
    m_replicas.m_answers.clear();
    m_replicas.m_requests.clear();
  }

 protected:
  /// Makes one call and returns when all its work has ended. If
  /// `disconnect_after` is set, the caller disconnects after that time.
  wire::RecordingWriter Call(const std::string& path,
                             const std::string& key = "key",
                             Duration disconnect_after = Duration()) {
    wire::Request request;
    request.m_method = "POST";
    request.m_path = path;
    request.m_headers = {{"host", "h"},
                         {platform::kRequestId, "call-1"},
                         {platform::kKey, key},
                         {platform::kTimeLeft, "6000"}};
    request.m_headers.insert(m_more_headers.begin(), m_more_headers.end());
    wire::RecordingWriter caller;
    boost::asio::co_spawn(*m_io, m_server->Serve(request, caller),
                          boost::asio::detached);
    boost::asio::steady_timer disconnect_timer(*m_io);
    if (disconnect_after > Duration()) {
      disconnect_timer.expires_after(disconnect_after);
      disconnect_timer.async_wait(
          [&](const boost::system::error_code&) { caller.Disconnect(); });
    }
    m_io->restart();
    m_io->run();
    return caller;
  }

  /// The replica to which attempt `number` (from 0) was sent.
  std::string Asked(size_t number) const {
    return wire::Get(m_replicas.m_requests.at(number).m_headers,
                     platform::kExpectReplica);
  }

  /// The replica `id` of the pool.
  decide::ReplicaState& Replica(const std::string& id) {
    return GetOrCreateService(*m_state, "pool").m_pool.m_replicas.at(id);
  }

  /// Calls in flight at all replicas of the pool.
  uint32_t CallsInFlight() {
    uint32_t calls = 0;
    for (const auto& [id, replica] :
         GetOrCreateService(*m_state, "pool").m_pool.m_replicas)
      calls += replica.m_in_flight;
    return calls;
  }

  /// Header fields of the calls beside the usual ones.
  wire::Headers m_more_headers;
  std::unique_ptr<EntryState> m_state;
  std::unique_ptr<boost::asio::io_context> m_io;
  std::unique_ptr<links::DatagramSocket> m_datagrams;
  std::unique_ptr<SlotRequester> m_slot_requester;
  std::unique_ptr<SlotAllocator> m_slot_allocator;
  wire::ScriptedClient m_replicas;
  std::unique_ptr<CallServer> m_server;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_FIXTURE_H_
