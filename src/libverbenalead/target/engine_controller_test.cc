#include "target/engine_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "target/staging_engine.h"

namespace verbenalead::target {
namespace {

constexpr char kModel[] = "m";
constexpr uint64_t kOld = 1;
constexpr uint64_t kNew = 2;
constexpr Duration kBound = 8s;
/// Longer than a staged chunk may have been corrupt when it is loaded.
constexpr Duration kPause = 4s;
/// Queries with calls at the engine, after which it has none.
constexpr int kBusyReports = 4;
/// Requests to the engine after which a run ends.
constexpr int kRequestsAfterLoad = 8;
constexpr int kRequestsAfterPause = 14;
constexpr int kMaxRequests = 60;

const std::vector<std::string> kChunks = {"new 0", "new 1", "new 2", "new 3"};

/// An engine that loads whatever is staged when it accepts the order, and a
/// process that is paused before one of its requests arrives: a chunk becomes
/// corrupt as the pause begins.
class PausingEngine : public StagingEngine {
 public:
  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint to, wire::Request request, TimePoint deadline) override {
    if (++m_requests == m_pause_before)
      Pause();
    if (request.m_path == "/report")
      co_return Reply(200, Report());
    if (request.m_path == "/order")
      co_return Order();
    co_return co_await StagingEngine::Open(to, std::move(request), deadline);
  }

  /// Whether it has loaded a chunk that had been corrupt for too long.
  bool HasLoadedCorrupt() const {
    return std::any_of(m_loaded.begin(), m_loaded.end(), [](const auto& chunk) {
      return chunk.second == "corrupt";
    });
  }

  uint64_t m_version = kOld;
  int m_requests = 0;
  /// Number of the request that arrives after a pause; 0: none.
  int m_pause_before = 0;
  /// The request that arrived after the pause was the order.
  bool m_order_was_late = false;
  bool m_ever_loaded_corrupt = false;
  Duration m_boot_now = 100s;
  uint64_t m_orders = 0;
  int m_requests_at_load = 0;
  /// Answers an order for the version that it has without loading it.
  bool m_keeps_version = false;
  /// Accepts orders, but their answers are lost.
  bool m_loses_answers = false;

 private:
  using Result = AsyncResult<std::unique_ptr<wire::ResponseReader>>;

  void Pause() {
    m_chunks["1"] = "corrupt";
    m_boot_now += kPause;
  }

  std::string Report() {
    const bool busy = m_orders == 0 && ++m_reports <= kBusyReports;
    boost::json::object report = {
        {"busy", false}, {"sequence", m_orders}, {"active", busy ? 1 : 0}};
    report["models"] = boost::json::array{
        {{"name", kModel}, {"version", m_version}, {"adapters", {}}}};
    return boost::json::serialize(report);
  }

  Result Order() {
    if (m_keeps_version && m_version == kNew)
      return Reply(200, "{}");
    m_order_was_late |= m_requests == m_pause_before;
    ++m_orders;
    m_version = kNew;
    m_loaded = m_chunks;
    m_ever_loaded_corrupt |= HasLoadedCorrupt();
    if (m_requests_at_load == 0)
      m_requests_at_load = m_requests;
    if (m_loses_answers)
      return Failure{FailureCode::kBroken, "read", "engine", "closed"};
    return Reply(202, "{}");
  }

  Result Reply(int status, std::string body) {
    wire::Response response;
    response.m_status = status;
    response.m_body = std::move(body);
    return Result(std::make_unique<wire::FixedReader>(std::move(response)));
  }

  int m_reports = 0;
  std::map<std::string, std::string> m_loaded;
};

/// An origin and peers that don't answer.
class NoClient : public wire::Client {
 public:
  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint, wire::Request, TimePoint) override {
    co_return Failure{FailureCode::kUnreachable, "connect", "host", "down"};
  }
};

/// A target process that has all chunks of a new version, and its engine.
struct Host {
  explicit Host(Duration until_bound) : m_state(Options()) {
    m_state.m_boot_now = [this] { return m_engine.m_boot_now; };
    m_state.m_engine = model::EngineProfile();
    m_state.m_engine->m_model = kModel;
    m_state.m_engine->m_chunks = static_cast<uint32_t>(kChunks.size());
    m_state.m_engine->m_chunk_bytes = 64;
    m_state.m_engine->m_load = 10ms;
    m_state.m_origin_rate = 1 << 20;
    m_state.m_declared[kNew] = Now() + until_bound - kBound;
    AddReplica();
    FillCache();
  }

  static TargetOptions Options() {
    TargetOptions options;
    options.m_service = "pool";
    options.m_weights_bound = kBound;
    options.m_origin_outages = true;
    options.m_link_rate = 1 << 20;
    options.m_engine = Endpoint("127.0.0.1", 1);
    return options;
  }

  void AddReplica() {
    model::Replica replica;
    replica.m_id = "i-1";
    replica.m_service = "pool";
    replica.m_endpoint = m_state.m_options.m_engine;
    m_state.m_listed[replica.m_id] = replica;
    m_state.m_replicas[replica.m_id] = replica;
  }

  void FillCache() {
    std::vector<Digest> digests;
    for (const std::string& chunk : kChunks)
      digests.push_back(Sha256(chunk));
    m_state.m_cache.AddVersion(kNew, digests);
    for (uint32_t chunk = 0; chunk < kChunks.size(); ++chunk)
      CPPUNIT_ASSERT(m_state.m_cache.Put(kNew, chunk, kChunks[chunk]));
  }

  /// Runs the controller until the engine has been queried for a while after
  /// its load.
  void Run() {
    boost::asio::co_spawn(m_io, m_controller.Run(), boost::asio::detached);
    while (!IsDone())
      m_io.run_one();
  }

  bool IsDone() const {
    const int load = m_engine.m_requests_at_load;
    const int pause = m_engine.m_pause_before;
    const int requests = m_engine.m_requests;
    return (load > 0 && requests > load + kRequestsAfterLoad) ||
           (pause > 0 && requests > pause + kRequestsAfterPause);
  }

  /// Whether entries are told that the replica takes calls with corrupt
  /// weights.
  void CheckUpdate() {
    const links::ReplicaUpdate update = m_controller.CurrentUpdate();
    const bool takes_calls = !update.m_loading;
    m_served_corrupt |= takes_calls && m_engine.HasLoadedCorrupt();
    m_served |= takes_calls && update.m_version == kNew;
  }

  PausingEngine m_engine;
  NoClient m_nobody;
  TargetState m_state;
  platform::EngineClient m_client{m_engine, Endpoint("127.0.0.1", 1)};
  platform::OriginClient m_origin{m_nobody};
  ChunkFetcher m_fetcher{m_state, m_nobody, m_origin,
                         [](const links::OriginFetchUpdate&) {}};
  EngineController m_controller{m_state, m_client, m_fetcher,
                                [this] { CheckUpdate(); }, [] { return 0.0; }};
  boost::asio::io_context m_io;
  bool m_served_corrupt = false;
  bool m_served = false;
};

class EngineControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineControllerTest);
  CPPUNIT_TEST(LoadsWithoutAPause);
  CPPUNIT_TEST(PauseAnywhereBeforeALoadServesNoCorruptWeights);
  CPPUNIT_TEST(PauseBeforeALoadAfterARestartServesNoCorruptWeights);
  CPPUNIT_TEST(PauseServesNoCorruptWeightsIfTheAnswerToTheOrderIsLost);
  CPPUNIT_TEST(PauseServesNoCorruptWeightsIfTheEngineKeepsItsVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LoadsWithoutAPause() {
    Host host(kUntilBound);
    host.Run();
    CPPUNIT_ASSERT(host.m_served);
    CPPUNIT_ASSERT(!host.m_served_corrupt);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, host.m_engine.m_orders);
  }

  // Guards against tokens of weights that were corrupt for seconds: the process
  // is paused while it waits for its turn, for running calls, for a read-back,
  // or for the order to arrive.
  void PauseAnywhereBeforeALoadServesNoCorruptWeights() {
    CPPUNIT_ASSERT(PauseAnywhere([](Host&) {}));
  }

  // Guards against the same where a new process adopts what is staged.
  void PauseBeforeALoadAfterARestartServesNoCorruptWeights() {
    CPPUNIT_ASSERT(PauseAnywhere([](Host& host) {
      host.m_state.m_cache.Drop(kNew);
      std::vector<Digest> digests;
      for (size_t i = 0; i < kChunks.size(); ++i) {
        digests.push_back(Sha256(kChunks[i]));
        host.m_engine.m_chunks[std::to_string(i)] = kChunks[i];
      }
      host.m_state.m_cache.AddVersion(kNew, digests);
    }));
  }

  // Guards against the same where the engine accepts the late order and the
  // process doesn't hear of it.
  void PauseServesNoCorruptWeightsIfTheAnswerToTheOrderIsLost() {
    CPPUNIT_ASSERT(PauseAnywhere(
        [](Host& host) { host.m_engine.m_loses_answers = true; }));
  }

  // Guards against the same where an engine doesn't load a version again.
  void PauseServesNoCorruptWeightsIfTheEngineKeepsItsVersion() {
    CPPUNIT_ASSERT(PauseAnywhere(
        [](Host& host) { host.m_engine.m_keeps_version = true; }));
  }

 private:
  /// The turn comes this long before the end of the window for loads.
  static constexpr Duration kUntilBound = 760ms;

  /// Pauses the process before each of its requests in turn, up to the order.
  /// Returns whether that included the order.
  template <typename Prepare>
  bool PauseAnywhere(Prepare prepare) {
    bool order_was_late = false;
    for (int request = 1; request < kMaxRequests && !order_was_late;
         ++request) {
      Host host(kUntilBound);
      prepare(host);
      host.m_engine.m_pause_before = request;
      host.Run();
      CPPUNIT_ASSERT_MESSAGE("paused before request " + std::to_string(request),
                             !host.m_served_corrupt);
      order_was_late = host.m_engine.m_order_was_late;
      // What was found out in time isn't ordered.
      CPPUNIT_ASSERT(order_was_late || !host.m_engine.m_ever_loaded_corrupt);
    }
    return order_was_late;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineControllerTest);

}  // namespace
}  // namespace verbenalead::target
