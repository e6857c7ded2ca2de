#ifndef VERBENALEAD_DAEMON_CRASH_NOTE_EXCHANGE_H_
#define VERBENALEAD_DAEMON_CRASH_NOTE_EXCHANGE_H_

#include <string>
#include <vector>

#include "daemon/host_directory.h"
#include "daemon/quarantine_keeper.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// The JSON form of crash notes. Times travel as ages, since clocks differ.
std::string ToJson(const std::vector<decide::CrashNote>& notes, TimePoint now);
Result<std::vector<decide::CrashNote>> ParseCrashNotes(std::string_view json,
                                                       TimePoint now);

/// `handler`, and before it POST /v1/crash-notes, by which another entry tells
/// under which requests targets crashed.
wire::Handler TakeCrashNotes(QuarantineKeeper& quarantine,
                             wire::Handler handler);

/// Tells the other entries each note that is new here, and again to those that
/// did not answer. Runs until the process ends.
///
/// Made for a request that crashes what runs it, and whose caller sends it
/// again through another entry: without the news each of 8 entries would let
/// it take two targets. Notes are rare, so each goes to every entry.
Awaitable<void> ExchangeCrashNotes(QuarantineKeeper& quarantine,
                                   HostDirectory& hosts,
                                   wire::Client& peers,
                                   std::string self);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CRASH_NOTE_EXCHANGE_H_
