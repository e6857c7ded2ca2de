#include "daemon/trace_gatherer.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <memory>
#include <sstream>

#include "base/sleep.h"
#include "base/spawn.h"

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

constexpr Duration kAskTimeout = 100ms;
constexpr Duration kFlushInterval = 1s;
constexpr Duration kFlushPauseMost = 30s;
constexpr char kSegments[] = "journal/";
/// Segments of one entry that a trace reads, the newest first: half a minute
/// of a busy one. More would not be read within 200 ms.
constexpr size_t kSegmentsRead = 32;
/// How far back segments are listed; a list holds a thousand keys, the oldest
/// first, and the newest are wanted.
constexpr int64_t kListedMilliseconds = 600'000;

/// Answers that are awaited at once; all on one thread.
struct Gathering {
  explicit Gathering(const asio::any_io_executor& executor)
      : m_done(executor, TimePoint::max()) {}

  size_t m_open = 0;
  std::vector<std::string> m_lines;
  asio::steady_timer m_done;
};

void Take(Gathering& gathering, const std::string& body) {
  std::istringstream stream(body);
  for (std::string line; std::getline(stream, line);)
    gathering.m_lines.push_back(line);
}

void End(Gathering& gathering) {
  if (--gathering.m_open == 0)
    gathering.m_done.cancel();
}

Awaitable<void> Ask(std::shared_ptr<Gathering> gathering,
                    std::string request_id,
                    wire::Client& peers,
                    model::Host host) {
  wire::Request request;
  request.m_path = "/v1/trace/" + request_id;
  auto response = co_await wire::Fetch(peers, host.peer(), std::move(request),
                                       Now() + kAskTimeout);
  if (response)
    Take(*gathering, response->m_body);
  else
    gathering->m_lines.push_back(
        LogLine("host_silent").With("host", host.name()).text());
  End(*gathering);
}

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Awaitable<void> Wait(std::shared_ptr<Gathering> gathering) {
  while (gathering->m_open > 0) {
    boost::system::error_code ignored;
    co_await gathering->m_done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

/// The lines of `request` in one segment.
Awaitable<void> ReadSegment(std::shared_ptr<Gathering> gathering,
                            backends::ObjectStore& store,
                            std::string key,
                            std::string request) {
  auto segment = co_await store.Get(std::move(key));
  if (segment) {
    const std::string mark = "request=" + EscapeLogValue(request);
    std::istringstream stream(*segment);
    for (std::string line; std::getline(stream, line);) {
      const size_t at = line.find(mark);
      const bool ours =
          at != std::string::npos &&
          (at + mark.size() == line.size() || line[at + mark.size()] == ' ');
      if (ours || line.starts_with("event=journal_dropped"))
        gathering->m_lines.push_back(line);
    }
  }
  End(*gathering);
}

Awaitable<void> SearchSegments(std::shared_ptr<Gathering> gathering,
                               backends::ObjectStore& store,
                               std::string host,
                               std::string request) {
  const auto executor = co_await asio::this_coro::executor;
  const std::string folder = kSegments + host + "/";
  auto keys = co_await store.List(
      folder,
      folder + std::to_string(UnixMilliseconds() - kListedMilliseconds));
  if (keys) {
    const size_t first =
        keys->size() > kSegmentsRead ? keys->size() - kSegmentsRead : 0;
    for (size_t i = first; i < keys->size(); ++i) {
      ++gathering->m_open;
      Spawn(executor, ReadSegment(gathering, store, (*keys)[i], request),
            "read_segment");
    }
  } else {
    gathering->m_lines.push_back(LogLine("segments_unavailable")
                                     .With("host", host)
                                     .With(keys.error())
                                     .text());
  }
  End(*gathering);
}

bool Contains(const std::vector<std::string>& lines, const char* text) {
  return std::any_of(lines.begin(), lines.end(), [&](const auto& line) {
    return line.find(text) != std::string::npos;
  });
}

}  // namespace

Awaitable<void> FlushJournal(Journal& journal,
                             backends::ObjectStore& store,
                             std::string host) {
  Duration pause = kFlushInterval;
  while (true) {
    co_await Sleep(pause);
    std::string segment = journal.TakeSegment();
    if (segment.empty())
      continue;
    auto put = co_await store.Put(
        kSegments + host + "/" + std::to_string(UnixMilliseconds()),
        std::move(segment));
    pause = put ? kFlushInterval : std::min(pause * 2, kFlushPauseMost);
    if (!put)
      LogLine("journal_segment_lost").With(put.error()).Warn();
  }
}

Awaitable<std::vector<std::string>> GatherTrace(
    std::string request,
    const Journal& journal,
    wire::Client& peers,
    backends::ObjectStore* store,
    std::vector<model::Host> hosts) {
  const auto executor = co_await asio::this_coro::executor;
  auto gathering = std::make_shared<Gathering>(executor);
  gathering->m_lines = journal.Find(request);
  gathering->m_open = hosts.size();
  for (const model::Host& host : hosts) {
    Spawn(executor, Ask(gathering, request, peers, host), "ask");
  }
  co_await Wait(gathering);
  if (store != nullptr && !Contains(gathering->m_lines, "event=outcome")) {
    for (const model::Host& host : hosts) {
      if (host.role() != model::HostRole::kEntry)
        continue;
      ++gathering->m_open;
      Spawn(executor, SearchSegments(gathering, *store, host.name(), request),
            "search_segments");
    }
    co_await Wait(gathering);
  }
  std::vector<std::string> lines = std::move(gathering->m_lines);
  std::sort(lines.begin(), lines.end());
  lines.erase(std::unique(lines.begin(), lines.end()), lines.end());
  const bool found = std::any_of(
      lines.begin(), lines.end(),
      [](const std::string& line) { return line.starts_with("unix_us="); });
  co_return found ? lines : std::vector<std::string>();
}

}  // namespace verbenalead::daemon
