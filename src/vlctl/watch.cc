#include <iostream>

#include "vlctl/answer.h"
#include "vlctl/commands.h"

namespace verbenalead::vlctl {

ExitCode Watch(const CommandContext& context,
               std::optional<uint64_t> revision,
               uint64_t count) {
  std::string path = "/v1/watch";
  if (revision)
    path += "?after=" + std::to_string(*revision);
  uint64_t seen = 0;
  auto done = context.m_client.StreamLines(path, [&](const std::string& line) {
    std::cout << line << std::endl;
    return count == 0 || ++seen < count;
  });
  return done ? kOk : PrintError(kFailed, ToString(done.error()));
}

}  // namespace verbenalead::vlctl
