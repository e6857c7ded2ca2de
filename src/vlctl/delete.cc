#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>

#include "base/new_id.h"
#include "vlctl/answer.h"
#include "vlctl/commands.h"
#include "wire/request_target.h"

namespace verbenalead::vlctl {
namespace json = boost::json;

ExitCode Delete(const CommandContext& context,
                const std::string& kind,
                const std::string& name,
                const std::string& operation) {
  const wire::Headers headers{
      {"x-operation-id", operation.empty() ? NewId() : operation},
      {"x-operator", context.m_operator}};
  json::object answer;
  const ExitCode code =
      ParseResponse(context.m_client.Call("DELETE",
                                          wire::RequestTarget("/v1/resources")
                                              .Segment(kind)
                                              .Segment(name)
                                              .Build(),
                                          headers),
                    answer);
  if (code == kOk)
    fmt::print("{}/{} deleted at revision {}\n", kind, name,
               ToDisplayText(answer.at("revision")));
  return code;
}

}  // namespace verbenalead::vlctl
