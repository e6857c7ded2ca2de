#ifndef VERBENALEAD_ENTRY_CALL_SERVER_H_
#define VERBENALEAD_ENTRY_CALL_SERVER_H_

#include <map>
#include <string>

#include "entry/entry_state.h"
#include "entry/place_waiter.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::entry {

/// Serves callers: each request is checked, placed, sent on and answered.
class CallServer {
 public:
  CallServer(EntryState& state, PlaceWaiter& places, wire::Client& http)
      : m_state(state), m_places(places), m_http(http) {}

  Awaitable<void> Serve(const wire::Request& request,
                        wire::ResponseWriter& caller);

 private:
  /// How long ago a caller that has `left` began, judged by the longest time
  /// that a call on the same route had.
  Duration Elapsed(const std::string& route, std::optional<Duration> left);

  EntryState& m_state;
  PlaceWaiter& m_places;
  wire::Client& m_http;
  /// By route.
  std::map<std::string, Duration> m_longest_time;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_SERVER_H_
