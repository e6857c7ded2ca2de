#include "standins/common/faults.h"

#include <boost/json.hpp>

#include "base/sleep.h"

namespace verbenalead::standins {
namespace {

namespace json = boost::json;

json::object Parse(const std::string& text) {
  return json::parse(text).get_object();
}

/// Discards the response, so that the client gets none.
class DiscardingWriter : public wire::ResponseWriter {
 public:
  Awaitable<bool> Send(wire::Response) override { co_return true; }
  Awaitable<bool> Start(wire::ResponseHead) override { co_return true; }
  Awaitable<bool> Write(std::string) override { co_return true; }
  Awaitable<bool> Finish(wire::Headers) override { co_return true; }
  bool disconnected() const override { return false; }
};

Awaitable<void> Answer(std::shared_ptr<Faults> faults,
                       wire::Handler handler,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (request.m_path == "/faults" && request.m_method == "POST") {
    const bool good = faults->Set(request.m_body);
    co_await writer.Send({good ? 200 : 400, {}, ""});
    co_return;
  }
  while (faults->Flag("hang"))
    co_await Sleep(10ms);
  if (faults->Flag("down")) {
    co_await writer.Send({503, {}, "down"});
    co_return;
  }
  if (const int64_t delay = faults->Number("delay_ms"); delay > 0)
    co_await Sleep(std::chrono::milliseconds(delay));
  if (faults->TryConsume("lose_answers")) {
    DiscardingWriter discarding;
    co_await handler(request, discarding);
    co_return;
  }
  co_await handler(request, writer);
}

}  // namespace

bool Faults::Flag(const std::string& name) const {
  std::lock_guard lock(m_mutex);
  const json::object object = Parse(m_json);
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

int64_t Faults::Number(const std::string& name) const {
  std::lock_guard lock(m_mutex);
  const json::object object = Parse(m_json);
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::string Faults::Text(const std::string& name) const {
  std::lock_guard lock(m_mutex);
  const json::object object = Parse(m_json);
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

bool Faults::TryConsume(const std::string& name) {
  std::lock_guard lock(m_mutex);
  json::object object = Parse(m_json);
  json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_int64() || value->get_int64() <= 0)
    return false;
  *value = value->get_int64() - 1;
  m_json = json::serialize(object);
  return true;
}

bool Faults::Set(const std::string& text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object())
    return false;
  std::lock_guard lock(m_mutex);
  m_json = text;
  return true;
}

wire::Handler WithFaults(std::shared_ptr<Faults> faults,
                         wire::Handler handler) {
  return [faults, handler](const wire::Request& request,
                           wire::ResponseWriter& writer) {
    return Answer(faults, handler, request, writer);
  };
}

}  // namespace verbenalead::standins
