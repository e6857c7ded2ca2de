#include "platform/store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "base/base64.h"
#include "base/boot_clock.h"
#include "base/log.h"
#include "base/metric_label.h"
#include "platform/names.h"
#include "wire/request_target.h"

namespace verbenalead::platform {
namespace {

namespace json = boost::json;

constexpr char kRowsPath[] = "/rows-get";
constexpr char kFeedPath[] = "/rows-feed";
constexpr char kPartsPath[] = "/rows-parts";
constexpr char kTableField[] = "table";
constexpr char kAfterField[] = "after_rev";

/// Longest wait for an answer beyond the long-poll wait stated in the request,
/// and longest pause within an answer. An answer usually takes 4 ms; one that
/// takes 60 times as long must still be accepted.
constexpr Duration kAnswerTimeout = 800ms;

/// Longest time for a whole answer, beyond the long-poll wait stated in the
/// request.
constexpr Duration kTotalTimeout = 8s;

/// Longest answer: 1 MB of rows, or the rows of a table's changes.
constexpr size_t kMaxAnswerBytes = size_t{16} << 20;

/// Least time between two log lines of rows that were left out.
constexpr Duration kLeftOutLineInterval = 10s;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kInternalError = 500;
constexpr int kPreconditionFailed = 412;
constexpr int kGone = 410;
constexpr int kForbidden = 403;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

Failure StatusFailure(const std::string& step,
                      const Endpoint& endpoint,
                      int status) {
  FailureCode code = FailureCode::kBroken;
  if (status == kGone)
    code = FailureCode::kNotFound;
  else if (status == kPreconditionFailed)
    code = FailureCode::kConflict;
  else if (status == kTooManyRequests || status == kUnavailable ||
           status == kForbidden)
    code = FailureCode::kRefused;
  else if (status >= kBadRequest && status < kInternalError)
    code = FailureCode::kInvalid;
  return Failure{code, step, ToString(endpoint),
                 "status " + std::to_string(status)};
}

/// Adds to `failure` the page of a table that could not be read.
Failure AtPage(Failure failure, const decide::PageCursor& cursor) {
  failure.m_reason += "; page " + std::to_string(cursor.m_pages + 1);
  if (cursor.m_last_key)
    failure.m_reason += " after key " + wire::PercentEncode(*cursor.m_last_key);
  return failure;
}

/// The era that an answer of the store states; 0 if it states none.
uint64_t EraOf(const wire::Response& response) {
  const std::string text = wire::Get(response.m_headers, kStoreEra);
  uint64_t era = 0;
  std::from_chars(text.data(), text.data() + text.size(), era);
  return era;
}

std::string TableLabel(const std::string& table) {
  return MetricLabel("table", table);
}

/// The target that reads the page after those in `cursor`.
std::string PageTarget(const std::string& table,
                       const std::string& part,
                       const decide::PageCursor& cursor) {
  wire::RequestTarget target(kRowsPath);
  target.Field(kTableField, table).Field("part", part);
  if (cursor.m_last_key)
    target.Field("from", decide::LeastKeyAfter(*cursor.m_last_key));
  return target.Build();
}

wire::Request PostRequest(std::string body) {
  wire::Request request;
  request.m_method = "POST";
  request.m_path = "/rows-tx";
  request.m_headers["content-type"] = "application/json";
  request.m_body = std::move(body);
  return request;
}

}  // namespace

Awaitable<AsyncResult<Rows>> Store::ReadTable(std::string table,
                                              std::string part) {
  const std::string step = "GET " + std::string(kRowsPath);
  Rows all;
  decide::PageCursor cursor;
  cursor.m_started = Now();
  while (true) {
    auto page =
        co_await Read(table, PageTarget(table, part, cursor), Duration());
    if (!page)
      co_return AtPage(page.error(), cursor);
    // Rows of later pages may be newer than the revision of the first page.
    // Returning the first page's revision makes the follower read the changes
    // after it again, which is harmless; with a later one it would miss changes
    // of rows on earlier pages.
    if (cursor.m_pages == 0) {
      all.m_asked_at = page->m_rows.m_asked_at;
      all.m_store_time = page->m_rows.m_store_time;
      all.m_revision = page->m_rows.m_revision;
    }
    if (page->m_rows.m_revision.m_era != all.m_revision.m_era) {
      co_return Failure{FailureCode::kBroken, step, ToString(m_endpoint),
                        "the store came back from a copy between two pages"};
    }
    const decide::PageCursor before = cursor;
    const decide::PageStep next =
        decide::RecordPage(cursor, page->m_facts, Now());
    if (next != decide::PageStep::kDone &&
        next != decide::PageStep::kReadNext) {
      CountFailure(table);
      co_return AtPage(Failure{FailureCode::kCorrupt, step,
                               ToString(m_endpoint), decide::ToString(next)},
                       before);
    }
    for (Row& row : page->m_rows.m_rows)
      all.m_rows.push_back(std::move(row));
    if (next == decide::PageStep::kDone)
      co_return all;
  }
}

Awaitable<AsyncResult<std::vector<std::string>>> Store::ListParts(
    std::string table) {
  std::vector<std::string> all;
  const TimePoint started = Now();
  while (true) {
    wire::RequestTarget target(kPartsPath);
    target.Field(kTableField, table);
    if (!all.empty())
      target.Field(kAfterField, all.back());
    auto page = co_await ReadPartsPage(target.Build());
    if (!page)
      co_return page.error();
    const bool again =
        !page->m_parts.empty() &&
        std::find(all.begin(), all.end(), page->m_parts.front()) != all.end();
    if (again || Now() - started > decide::kMaxTableTime) {
      co_return Failure{FailureCode::kCorrupt, "GET " + std::string(kPartsPath),
                        ToString(m_endpoint),
                        "the list of parts doesn't end, after part " +
                            wire::PercentEncode(all.empty() ? "" : all.back())};
    }
    all.insert(all.end(), page->m_parts.begin(), page->m_parts.end());
    if (!page->m_has_more || page->m_parts.empty())
      co_return all;
  }
}

Awaitable<AsyncResult<PartsPage>> Store::ReadPartsPage(std::string target) {
  wire::Request request;
  request.m_path = std::move(target);
  const std::string step = "GET " + wire::PathOf(request);
  auto response = co_await wire::Fetch(m_http, m_endpoint, std::move(request),
                                       Now() + kAnswerTimeout, kMaxAnswerBytes);
  if (!response)
    co_return response.error();
  if (response->m_status != kOk)
    co_return StatusFailure(step, m_endpoint, response->m_status);
  auto page = DecodePartsPage(response->m_body);
  if (!page) {
    co_return Failure{FailureCode::kCorrupt, step, ToString(m_endpoint),
                      "the answer is no list of parts"};
  }
  co_return std::move(*page);
}

Awaitable<AsyncResult<Rows>> Store::ReadChanges(std::string table,
                                                model::Revision revision,
                                                Duration wait) {
  const std::string target =
      wire::RequestTarget(kFeedPath)
          .Field(kTableField, table)
          .Field(kAfterField, revision.m_number)
          .Field("wait_ms", static_cast<uint64_t>(ToMilliseconds(wait)))
          .Build();
  auto page = co_await Read(std::move(table), target, wait);
  if (!page)
    co_return page.error();
  co_return std::move(page->m_rows);
}

Awaitable<AsyncResult<RowsPage>> Store::Read(std::string table,
                                             std::string target,
                                             Duration wait) {
  m_metrics.Count("store_pages_total", TableLabel(table));
  wire::Request request;
  request.m_path = std::move(target);
  const std::string step = "GET " + wire::PathOf(request);
  const Duration requested_at = BootNow();
  const wire::ProgressTimeouts timeouts = {
      wait + kAnswerTimeout, kAnswerTimeout, wait + kTotalTimeout};
  auto response = co_await wire::FetchByProgress(
      m_http, m_endpoint, std::move(request), timeouts, kMaxAnswerBytes);
  if (!response) {
    CountFailure(table);
    co_return response.error();
  }
  if (response->m_status != kOk) {
    CountFailure(table);
    co_return StatusFailure(step, m_endpoint, response->m_status);
  }
  auto page = DecodeRowsPage(response->m_body, EraOf(*response));
  if (!page) {
    CountFailure(table);
    co_return Failure{FailureCode::kCorrupt, step, ToString(m_endpoint),
                      "the answer is no list of rows"};
  }
  LogLeftOut(table, page->m_left_out);
  page->m_rows.m_asked_at = requested_at;
  co_return std::move(*page);
}

void Store::CountFailure(const std::string& table) {
  m_metrics.Count("store_reads_failed_total", TableLabel(table));
}

void Store::LogLeftOut(const std::string& table,
                       const std::vector<std::string>& keys) {
  if (keys.empty())
    return;
  m_metrics.Count("store_rows_left_out_total", TableLabel(table),
                  static_cast<double>(keys.size()));
  if (Now() < m_next_left_out_line)
    return;
  m_next_left_out_line = Now() + kLeftOutLineInterval;
  LogLine("rows_left_out")
      .With("table", table)
      .With("rows", static_cast<uint64_t>(keys.size()))
      .With("key", wire::PercentEncode(keys.front()))
      .With("reason", "the key is no text")
      .Warn();
}

Awaitable<AsyncResult<bool>> Store::Write(std::string table,
                                          std::string part,
                                          std::string key,
                                          std::string value) {
  json::object row = {{"table", table},
                      {"part", part},
                      {"key", key},
                      {"value", EncodeBase64(value)}};
  json::object body = {{"precondition", json::array()},
                       {"writes", json::array({std::move(row)})},
                       {"remove", json::array()}};
  co_return co_await Transact(json::serialize(body));
}

Awaitable<AsyncResult<bool>> Store::Transact(std::string body) {
  auto response =
      co_await wire::Fetch(m_http, m_endpoint, PostRequest(std::move(body)),
                           Now() + kAnswerTimeout, kMaxAnswerBytes);
  if (!response)
    co_return response.error();
  if (response->m_status != kOk)
    co_return StatusFailure("POST /rows-tx", m_endpoint, response->m_status);
  co_return true;
}

}  // namespace verbenalead::platform
