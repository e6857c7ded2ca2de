#include "standins/engine/engine_handler.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>

#include "base/catch_failure.h"
#include "base/log.h"
#include "base/sleep.h"
#include "http/client.h"
#include "model/json_fields.h"
#include "standins/engine/engine_state.h"
#include "standins/engine/load_weights.h"

namespace verbenalead::standins {
namespace {

namespace json = boost::json;

constexpr uint64_t kDefaultTokens = 16;
constexpr size_t kWordLength = 6;
/// Interval at which a request that is not streamed checks whether its caller
/// has disconnected.
constexpr Duration kCallerPollInterval = 50ms;

struct Engine {
  EngineState m_state;
  std::shared_ptr<Faults> m_faults;
  http::Client m_client;
  Duration m_token_time{};
};

using EnginePtr = std::shared_ptr<Engine>;

struct Completion {
  std::string m_prompt;
  uint64_t m_tokens = kDefaultTokens;
  bool m_stream = false;
  Digest m_digest;
  std::string m_model;
};

Result<Completion> ReadCompletion(const std::string& body) {
  BOOST_LEAF_AUTO(object, model::ParseObject(body, "request"));
  Completion completion;
  BOOST_LEAF_ASSIGN(completion.m_prompt, model::TextField(object, "prompt"));
  BOOST_LEAF_ASSIGN(completion.m_tokens,
                    model::NumberFieldOr(object, "max_tokens", kDefaultTokens));
  BOOST_LEAF_ASSIGN(completion.m_stream,
                    model::FlagFieldOr(object, "stream", false));
  return completion;
}

/// Word number `index` of the response to `completion`.
std::string Word(const Completion& completion, uint64_t index) {
  const std::string seed = ToString(completion.m_digest) + "|" +
                           completion.m_prompt + "|" + std::to_string(index);
  return ToString(Sha256(seed)).substr(0, kWordLength) + " ";
}

Duration TokenTime(const Engine& engine) {
  const int64_t slow = engine.m_faults->Number("slow");
  return engine.m_token_time * (slow > 0 ? slow : 1);
}

std::string ChunkJson(const Completion& completion, const std::string& text) {
  json::object choice{{"text", text}, {"index", 0}};
  return json::serialize(
      json::object{{"object", "text_completion"},
                   {"model", completion.m_model},
                   {"choices", json::array{std::move(choice)}}});
}

wire::ResponseHead HeadFor(const Completion& completion, const char* type) {
  wire::ResponseHead head{200, {}};
  head.m_headers["content-type"] = type;
  head.m_headers["x-model-digest"] = ToString(completion.m_digest);
  return head;
}

Awaitable<void> StreamAnswer(EnginePtr engine,
                             Completion completion,
                             wire::ResponseWriter& writer) {
  bool alive = co_await writer.Start(HeadFor(completion, "text/event-stream"));
  for (uint64_t i = 0; alive && i < completion.m_tokens; ++i) {
    co_await Sleep(TokenTime(*engine));
    const std::string text = ChunkJson(completion, Word(completion, i));
    alive = co_await writer.Write("data: " + text + "\n\n");
  }
  if (alive)
    alive = co_await writer.Write("data: [DONE]\n\n");
  co_await writer.Finish({});
}

Awaitable<void> WholeAnswer(EnginePtr engine,
                            Completion completion,
                            wire::ResponseWriter& writer) {
  std::string text;
  for (uint64_t i = 0; i < completion.m_tokens; ++i)
    text += Word(completion, i);
  const TimePoint done =
      Now() + TokenTime(*engine) * static_cast<int64_t>(completion.m_tokens);
  while (Now() < done && !writer.disconnected())
    co_await Sleep(std::min<Duration>(done - Now(), kCallerPollInterval));
  const wire::ResponseHead head = HeadFor(completion, "application/json");
  co_await writer.Send({200, head.m_headers, ChunkJson(completion, text)});
}

Awaitable<void> Complete(EnginePtr engine,
                         const wire::Request& request,
                         wire::ResponseWriter& writer) {
  auto completion =
      CatchFailure([&] { return ReadCompletion(request.m_body); });
  if (!completion) {
    co_await writer.Send({400, {}, completion.error().m_reason});
    co_return;
  }
  const std::string crash_on = engine->m_faults->Text("crash_on");
  if (!crash_on.empty() &&
      completion->m_prompt.find(crash_on) != std::string::npos)
    std::_Exit(3);
  {
    std::lock_guard lock(engine->m_state.m_mutex);
    completion->m_digest = engine->m_state.m_digest;
    completion->m_model = engine->m_state.m_model;
    ++engine->m_state.m_running;
    ++engine->m_state.m_runs[wire::Get(request.m_headers, "x-request-id")];
  }
  if (engine->m_faults->Flag("wrong_digest"))
    completion->m_digest = Sha256("other weights");
  if (completion->m_stream)
    co_await StreamAnswer(engine, *completion, writer);
  else
    co_await WholeAnswer(engine, *completion, writer);
  std::lock_guard lock(engine->m_state.m_mutex);
  --engine->m_state.m_running;
  engine->m_state.m_tokens += completion->m_tokens;
}

json::object ShowModel(const EngineState& state) {
  return {{"id", state.m_model},
          {"object", "model"},
          {"version", state.m_version},
          {"digest", ToString(state.m_digest)}};
}

struct Order {
  std::string m_model;
  std::string m_version;
  Digest m_digest;
  std::string m_url;
  uint64_t m_fencing_token = 0;
};

Result<Order> ReadOrder(const std::string& body) {
  BOOST_LEAF_AUTO(object, model::ParseObject(body, "order"));
  Order order;
  BOOST_LEAF_ASSIGN(order.m_model, model::TextField(object, "model"));
  BOOST_LEAF_ASSIGN(order.m_version, model::TextField(object, "version"));
  BOOST_LEAF_AUTO(digest, model::TextField(object, "digest"));
  BOOST_LEAF_ASSIGN(order.m_digest, ParseDigest(digest));
  BOOST_LEAF_ASSIGN(order.m_url, model::TextField(object, "weights_url"));
  BOOST_LEAF_ASSIGN(order.m_fencing_token, model::NumberField(object, "fence"));
  return order;
}

bool AcceptFence(Engine& engine, uint64_t fence) {
  std::lock_guard lock(engine.m_state.m_mutex);
  if (fence < engine.m_state.m_fencing_token &&
      !engine.m_faults->Flag("ignore_fence"))
    return false;
  engine.m_state.m_fencing_token =
      std::max(engine.m_state.m_fencing_token, fence);
  return true;
}

Awaitable<wire::Response> Load(EnginePtr engine, std::string body) {
  auto order = CatchFailure([&] { return ReadOrder(body); });
  if (!order)
    co_return wire::Response{400, {}, order.error().m_reason};
  if (!AcceptFence(*engine, order->m_fencing_token))
    co_return wire::Response{409, {}, "stale fencing number"};
  if (engine->m_faults->Flag("fail_load"))
    co_return wire::Response{500, {}, "out of memory"};
  auto digest = co_await LoadWeights(engine->m_client, order->m_url);
  if (!digest)
    co_return wire::Response{502, {}, ToString(digest.error())};
  if (*digest != order->m_digest)
    co_return wire::Response{422, {}, "the weights have another digest"};
  std::lock_guard lock(engine->m_state.m_mutex);
  engine->m_state.m_model = order->m_model;
  engine->m_state.m_version = order->m_version;
  engine->m_state.m_digest = *digest;
  co_return wire::JsonResponse(200,
                               json::serialize(ShowModel(engine->m_state)));
}

wire::Response RespondToQuery(Engine& engine, const std::string& path) {
  std::lock_guard lock(engine.m_state.m_mutex);
  const EngineState& state = engine.m_state;
  if (path == "/v1/models") {
    json::array data;
    if (!state.m_model.empty())
      data.push_back(ShowModel(state));
    return wire::JsonResponse(
        200, json::serialize(
                 json::object{{"object", "list"}, {"data", std::move(data)}}));
  }
  if (path == "/runs") {
    json::object runs;
    for (const auto& [id, count] : state.m_runs)
      runs[id] = count;
    return wire::JsonResponse(200, json::serialize(runs));
  }
  if (path == "/metrics") {
    return {200,
            {},
            "engine_running " + std::to_string(state.m_running) +
                "\nengine_tokens_total " + std::to_string(state.m_tokens) +
                "\n"};
  }
  return {404, {}, "unknown path"};
}

Awaitable<void> Answer(EnginePtr engine,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (request.m_path == "/v1/completions") {
    co_await Complete(engine, request, writer);
  } else if (request.m_path == "/v1/load") {
    wire::Response response = co_await Load(engine, request.m_body);
    co_await writer.Send(std::move(response));
  } else {
    co_await writer.Send(RespondToQuery(*engine, request.m_path));
  }
}

}  // namespace

wire::Handler MakeEngineHandler(const Settings& settings,
                                std::shared_ptr<Faults> faults) {
  auto engine = std::make_shared<Engine>();
  engine->m_faults = std::move(faults);
  engine->m_token_time =
      std::chrono::microseconds(settings.Integer("token_us"));
  return [engine](const wire::Request& request, wire::ResponseWriter& writer) {
    return Answer(engine, request, writer);
  };
}

}  // namespace verbenalead::standins
