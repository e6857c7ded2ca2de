#include <iostream>

#include "vlctl/answer.h"
#include "vlctl/commands.h"
#include "wire/request_target.h"

namespace verbenalead::vlctl {

ExitCode Watch(const CommandContext& context,
               std::optional<uint64_t> revision,
               uint64_t count) {
  wire::RequestTarget target("/v1/watch");
  if (revision)
    target.Field("after", *revision);
  uint64_t seen = 0;
  auto done = context.m_client.StreamLines(
      target.Build(), [&](const std::string& line) {
        std::cout << line << std::endl;
        return count == 0 || ++seen < count;
      });
  return done ? kOk : PrintError(kFailed, ToString(done.error()));
}

}  // namespace verbenalead::vlctl
