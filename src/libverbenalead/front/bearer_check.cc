#include "front/bearer_check.h"

#include <memory>

#include "base/log.h"
#include "base/secret.h"

namespace verbenalead::front {
namespace {

using Tokens = std::shared_ptr<const std::vector<std::string>>;

constexpr char kBearer[] = "Bearer ";

bool Accepts(const std::vector<std::string>& tokens,
             const wire::Request& request) {
  if (tokens.empty())
    return true;
  const std::string header = wire::Get(request.m_headers, "authorization");
  bool good = false;
  for (const std::string& token : tokens)
    good |= EqualSecrets(kBearer + token, header);
  return good;
}

Awaitable<void> Answer(Tokens tokens,
                       wire::Handler handler,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (Accepts(*tokens, request)) {
    co_await handler(request, writer);
    co_return;
  }
  LogLine("operator_refused")
      .With("peer", request.m_peer)
      .With("step", request.m_method + " " + request.m_path)
      .Warn();
  wire::Response response{401, {}, "a bearer token is needed\n"};
  response.m_headers["www-authenticate"] = "Bearer";
  co_await writer.Send(std::move(response));
}

}  // namespace

wire::Handler RequireBearer(std::vector<std::string> tokens,
                            wire::Handler handler) {
  auto shared =
      std::make_shared<const std::vector<std::string>>(std::move(tokens));
  return [shared, handler = std::move(handler)](const wire::Request& request,
                                                wire::ResponseWriter& writer) {
    return Answer(shared, handler, request, writer);
  };
}

}  // namespace verbenalead::front
