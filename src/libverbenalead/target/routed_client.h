#ifndef VERBENALEAD_TARGET_ROUTED_CLIENT_H_
#define VERBENALEAD_TARGET_ROUTED_CLIENT_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wire/client.h"

namespace verbenalead::target {

/// Stands for other processes in tests: answers by address and path, and keeps
/// what it was asked. What it has no answer for is refused with 404.
class RoutedClient : public wire::Client {
 public:
  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint endpoint, wire::Request request, TimePoint) override {
    const std::string where = endpoint.address() + wire::PathOf(request);
    m_asked.push_back(where);
    m_targets.push_back(request.m_path);
    const auto found = m_answers.find(where);
    wire::Response response(404, {}, "");
    if (found != m_answers.end())
      response = found->second;
    co_return AsyncResult<std::unique_ptr<wire::ResponseReader>>(
        std::make_unique<Reader>(std::move(response)));
  }

  /// By address and path, without the query.
  std::map<std::string, wire::Response> m_answers;
  std::vector<std::string> m_asked;
  /// The whole paths of the requests.
  std::vector<std::string> m_targets;

 private:
  class Reader : public wire::ResponseReader {
   public:
    explicit Reader(wire::Response response)
        : m_response(std::move(response)) {}

    Awaitable<AsyncResult<wire::ResponseHead>> ReadHead(TimePoint) override {
      co_return wire::ResponseHead(m_response.m_status, m_response.m_headers);
    }
    Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
        TimePoint) override {
      if (m_response.m_body.empty())
        co_return std::optional<std::string>();
      std::string body;
      body.swap(m_response.m_body);
      co_return std::optional<std::string>(std::move(body));
    }
    const wire::Headers& trailers() const override { return m_trailers; }

   private:
    wire::Response m_response;
    wire::Headers m_trailers;
  };
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_ROUTED_CLIENT_H_
