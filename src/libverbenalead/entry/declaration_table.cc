#include "entry/declaration_table.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/catch_failure.h"
#include "base/log.h"
#include "entry/declarations.h"
#include "links/declaration_codec.h"
#include "platform/names.h"

namespace verbenalead::entry {
namespace {

constexpr Duration kCheckInterval = 100ms;

}  // namespace

DeclarationTable::DeclarationTable(const boost::asio::any_io_executor& executor,
                                   EntryState& state,
                                   platform::Store& store,
                                   std::function<bool()> reads_store)
    : m_state(state),
      m_store(store),
      m_reads_store(std::move(reads_store)),
      m_timer(executor) {}

Awaitable<void> DeclarationTable::Run() {
  while (true) {
    const bool more = co_await TakeStep();
    if (more)
      continue;
    boost::system::error_code ignored;
    m_timer.expires_after(kCheckInterval);
    co_await m_timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

void DeclarationTable::Wake() {
  m_timer.cancel();
}

Awaitable<bool> DeclarationTable::TakeStep() {
  const TimePoint now = Now();
  decide::UpkeepFacts facts;
  facts.m_reads_store = m_reads_store();
  facts.m_guesses = GuessesDeclarationDate(m_state, now);
  const auto reports = DeclarationsToReport(m_state, now);
  if (!reports.empty())
    facts.m_row = links::EncodeDeclarationRow(reports);
  switch (decide::NextStep(m_upkeep, facts, now)) {
    case decide::UpkeepStep::kWrite:
      co_await Write(facts.m_row);
      co_return true;
    case decide::UpkeepStep::kRead:
      co_await Read();
      co_return true;
    case decide::UpkeepStep::kNone:
      break;
  }
  co_return false;
}

Awaitable<void> DeclarationTable::Write(std::string row) {
  const auto written = co_await m_store.Write(
      platform::kDeclarationTable, platform::kDeclarationTable,
      m_state.m_options.m_own_address.m_data_center, row);
  decide::RecordWrite(m_upkeep, row, written.has_value(), Now());
  if (!written)
    LogLine("declarations_not_kept").With(written.error()).Warn();
  else
    LogLine("declarations_kept").With("row", row).Info();
}

Awaitable<void> DeclarationTable::Read() {
  const auto rows = co_await m_store.ReadTable(platform::kDeclarationTable,
                                               platform::kDeclarationTable);
  decide::RecordRead(m_upkeep, Now());
  if (!rows) {
    LogLine("declarations_not_read").With(rows.error()).Warn();
    co_return;
  }
  for (const platform::Row& row : rows->m_rows) {
    const auto reports =
        CatchFailure([&] { return links::DecodeDeclarationRow(row.m_value); });
    if (reports)
      ApplyDeclarationReports(m_state, *reports, "kept/" + row.m_key);
    else
      LogLine("bad_declaration_row").With(reports.error()).Warn();
  }
}

}  // namespace verbenalead::entry
