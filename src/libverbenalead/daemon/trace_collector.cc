#include "daemon/trace_collector.h"

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
#include "wire/request_target.h"

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

constexpr Duration kTraceTimeout = 100ms;
constexpr Duration kFlushInterval = 1s;
constexpr Duration kMaxFlushInterval = 30s;
constexpr char kSegmentPrefix[] = "journal/";
/// Number of the newest segments of an entry that a trace reads: half a minute
/// of a busy entry. More could not be read within 200 ms.
constexpr size_t kMaxSegmentsRead = 32;
/// Age up to which segments are listed. A list contains at most a thousand
/// keys, the oldest first; without a start near the present it would not reach
/// the newest segments.
constexpr int64_t kSearchWindowMs = 600'000;

/// The answers of the concurrent requests of one trace. All of them run on one
/// thread.
struct PendingAnswers {
  explicit PendingAnswers(const asio::any_io_executor& executor)
      : m_done(executor, TimePoint::max()) {}

  size_t m_open = 0;
  std::vector<std::string> m_lines;
  asio::steady_timer m_done;
};

void Take(PendingAnswers& pending, const std::string& body) {
  std::istringstream stream(body);
  for (std::string line; std::getline(stream, line);)
    pending.m_lines.push_back(line);
}

void End(PendingAnswers& pending) {
  if (--pending.m_open == 0)
    pending.m_done.cancel();
}

Awaitable<void> Ask(std::shared_ptr<PendingAnswers> pending,
                    std::string request_id,
                    wire::Client& peers,
                    model::Host host) {
  wire::Request request;
  request.m_path = wire::RequestTarget("/v1/trace").Segment(request_id).Build();
  auto response = co_await wire::Fetch(peers, host.peer(), std::move(request),
                                       Now() + kTraceTimeout);
  if (response)
    Take(*pending, response->m_body);
  else
    pending->m_lines.push_back(
        LogLine("host_silent").With("host", host.name()).text());
  End(*pending);
}

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Awaitable<void> Wait(std::shared_ptr<PendingAnswers> pending) {
  while (pending->m_open > 0) {
    boost::system::error_code ignored;
    co_await pending->m_done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

/// Adds the lines of `request` in the segment `key` to `pending`.
Awaitable<void> ReadSegment(std::shared_ptr<PendingAnswers> pending,
                            backends::ObjectStore& store,
                            std::string key,
                            std::string request) {
  auto segment = co_await store.Get(std::move(key));
  if (segment) {
    const std::string mark = "request=" + EscapeLogValue(request);
    std::istringstream stream(*segment);
    for (std::string line; std::getline(stream, line);) {
      const size_t at = line.find(mark);
      const bool matches =
          at != std::string::npos &&
          (at + mark.size() == line.size() || line[at + mark.size()] == ' ');
      if (matches || line.starts_with("event=journal_dropped"))
        pending->m_lines.push_back(line);
    }
  }
  End(*pending);
}

Awaitable<void> SearchSegments(std::shared_ptr<PendingAnswers> pending,
                               backends::ObjectStore& store,
                               std::string host,
                               std::string request) {
  const auto executor = co_await asio::this_coro::executor;
  const std::string folder = kSegmentPrefix + host + "/";
  auto keys = co_await store.List(
      folder, folder + std::to_string(UnixMilliseconds() - kSearchWindowMs));
  if (keys) {
    const size_t first =
        keys->size() > kMaxSegmentsRead ? keys->size() - kMaxSegmentsRead : 0;
    for (size_t i = first; i < keys->size(); ++i) {
      ++pending->m_open;
      Spawn(executor, ReadSegment(pending, store, (*keys)[i], request),
            "read_segment");
    }
  } else {
    pending->m_lines.push_back(LogLine("segments_unavailable")
                                   .With("host", host)
                                   .With(keys.error())
                                   .text());
  }
  End(*pending);
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
    std::string segment = journal.ExtractSegment();
    if (segment.empty())
      continue;
    auto put = co_await store.Put(
        kSegmentPrefix + host + "/" + std::to_string(UnixMilliseconds()),
        std::move(segment));
    pause = put ? kFlushInterval : std::min(pause * 2, kMaxFlushInterval);
    if (!put)
      LogLine("journal_segment_lost").With(put.error()).Warn();
  }
}

Awaitable<std::vector<std::string>> CollectTrace(
    std::string request,
    const Journal& journal,
    wire::Client& peers,
    backends::ObjectStore* store,
    std::vector<model::Host> hosts) {
  const auto executor = co_await asio::this_coro::executor;
  auto pending = std::make_shared<PendingAnswers>(executor);
  pending->m_lines = journal.Find(request);
  pending->m_open = hosts.size();
  for (const model::Host& host : hosts) {
    Spawn(executor, Ask(pending, request, peers, host), "ask");
  }
  co_await Wait(pending);
  if (store != nullptr && !Contains(pending->m_lines, "event=outcome")) {
    for (const model::Host& host : hosts) {
      if (host.role() != model::HostRole::kEntry)
        continue;
      ++pending->m_open;
      Spawn(executor, SearchSegments(pending, *store, host.name(), request),
            "search_segments");
    }
    co_await Wait(pending);
  }
  std::vector<std::string> lines = std::move(pending->m_lines);
  std::sort(lines.begin(), lines.end());
  lines.erase(std::unique(lines.begin(), lines.end()), lines.end());
  const bool found = std::any_of(
      lines.begin(), lines.end(),
      [](const std::string& line) { return line.starts_with("unix_us="); });
  co_return found ? lines : std::vector<std::string>();
}

}  // namespace verbenalead::daemon
