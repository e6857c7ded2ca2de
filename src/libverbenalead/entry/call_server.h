#ifndef VERBENALEAD_ENTRY_CALL_SERVER_H_
#define VERBENALEAD_ENTRY_CALL_SERVER_H_

#include <map>
#include <string>

#include "entry/entry_state.h"
#include "entry/slot_allocator.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::entry {

/// Handles callers' requests: checks route, key and quarantine, decides the
/// call's plan, and runs it with CallRun. A call that fails a check is refused
/// at once with the reason, and never reaches a replica.
class CallServer {
 public:
  CallServer(EntryState& state,
             SlotAllocator& slot_allocator,
             wire::Client& http)
      : m_state(state), m_slot_allocator(slot_allocator), m_http(http) {}

  Awaitable<void> Serve(const wire::Request& request,
                        wire::ResponseWriter& caller);

 private:
  /// Estimates for how long a caller that has `left` until its deadline has
  /// already been attempting the call, from the longest time left that any call
  /// on the same route arrived with.
  Duration EstimateElapsed(const std::string& route,
                           std::optional<Duration> left);

  EntryState& m_state;
  SlotAllocator& m_slot_allocator;
  wire::Client& m_http;
  /// The longest time left that a call arrived with, by route.
  std::map<std::string, Duration> m_longest_time_left;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_SERVER_H_
