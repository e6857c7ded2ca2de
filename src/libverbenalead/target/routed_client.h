#ifndef VERBENALEAD_TARGET_ROUTED_CLIENT_H_
#define VERBENALEAD_TARGET_ROUTED_CLIENT_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wire/client.h"
#include "wire/fixed_reader.h"

namespace verbenalead::target {

/// Simulates other processes in tests: returns a prepared response by address
/// and path, and records the requests. A request without a prepared response
/// gets status 404.
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
        std::make_unique<wire::FixedReader>(std::move(response)));
  }

  /// Responses by address and path, without the query.
  std::map<std::string, wire::Response> m_answers;
  /// Address and path of each request, without the query.
  std::vector<std::string> m_asked;
  /// Path and query of each request.
  std::vector<std::string> m_targets;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_ROUTED_CLIENT_H_
