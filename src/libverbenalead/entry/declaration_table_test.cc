#include "entry/declaration_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "base/base64.h"
#include "base/boot_clock.h"
#include "entry/declarations.h"
#include "platform/names.h"
#include "wire/scripted_client.h"

namespace verbenalead::entry {
namespace {

constexpr Duration kBound = 8s;
constexpr uint64_t kEra = 3;
constexpr char kModel[] = "m";

wire::ScriptedAnswer StoreAnswer(int status, const std::string& body) {
  wire::ScriptedAnswer answer;
  answer.m_head.m_status = status;
  answer.m_pieces = {body};
  return answer;
}

class DeclarationTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeclarationTableTest);
  CPPUNIT_TEST(ADateIsKeptOnceItIsKnown);
  CPPUNIT_TEST(AWriteThatFailedIsMadeAgain);
  CPPUNIT_TEST(AStartOfAllFindsTheDatesThatWereKept);
  CPPUNIT_TEST(RowsThatCantBeReadChangeNothing);
  CPPUNIT_TEST(DatesOfAnEarlierEraAreIgnored);
  CPPUNIT_TEST(OnlyTheEntryThatReadsTheStoreKeepsDates);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EntryOptions options;
    options.m_weights_bound = kBound;
    options.m_own_address = {"e1", "a", Endpoint("127.0.0.1", 1),
                             Endpoint("127.0.0.1", 2)};
    m_state = std::make_unique<EntryState>(options);
    // The store's clock is the local one.
    decide::AnsweredAt(m_state->m_store_clock, BootNow(), {kEra, BootNow()});
    m_store = std::make_unique<platform::Store>(m_http, Endpoint("store", 1),
                                                m_state->m_metrics);
    m_reads_store = true;
    m_table = std::make_unique<DeclarationTable>(
        m_io.get_executor(), *m_state, *m_store,
        [this] { return m_reads_store; });
  }

  void ADateIsKeptOnceItIsKnown() {
    CPPUNIT_ASSERT(!TakeStep());
    Learn(2, 1s);
    m_http.m_answers = {StoreAnswer(200, "{}")};
    CPPUNIT_ASSERT(TakeStep());
    CPPUNIT_ASSERT(!TakeStep());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, m_http.m_requests.size());
    CPPUNIT_ASSERT(m_http.m_requests[0].m_body.find(
                       platform::kDeclarationTable) != std::string::npos);
    // The next version is another row.
    Learn(3, 0s);
    m_http.m_answers = {StoreAnswer(200, "{}")};
    CPPUNIT_ASSERT(TakeStep());
  }

  // Guards against dates that are lost for good with one answer of the store.
  void AWriteThatFailedIsMadeAgain() {
    Learn(2, 1s);
    m_http.m_answers = {StoreAnswer(503, "{}")};
    CPPUNIT_ASSERT(TakeStep());
    CPPUNIT_ASSERT(!TakeStep());
    decide::DeclarationUpkeep upkeep;
    decide::RecordWrite(upkeep, "row", false, TimePoint());
    const decide::UpkeepFacts facts = {true, "row", false};
    CPPUNIT_ASSERT(NextStep(upkeep, facts, TimePoint()) ==
                   decide::UpkeepStep::kNone);
    CPPUNIT_ASSERT(
        NextStep(upkeep, facts, TimePoint() + decide::kUpkeepPause) ==
        decide::UpkeepStep::kWrite);
  }

  // Guards against calls on weights that are barred, or refused seconds too
  // early, after an end of all processes: the store shows the newest version
  // alone, and nobody is left who knows when it was declared.
  void AStartOfAllFindsTheDatesThatWereKept() {
    ApplyDeclaration(*m_state, kModel, 3, AssumedDate(*m_state), "store");
    CPPUNIT_ASSERT(GuessesDeclarationDate(*m_state, Now()));
    m_http.m_answers = {
        StoreAnswer(200, Table({Row(2, 7s, kEra), Row(3, 4s, kEra)}))};
    CPPUNIT_ASSERT(TakeStep());
    CPPUNIT_ASSERT(!GuessesDeclarationDate(*m_state, Now()));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, RequiredIn(0ms));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, RequiredIn(800ms));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, RequiredIn(3s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, RequiredIn(4s));
  }

  void RowsThatCantBeReadChangeNothing() {
    ApplyDeclaration(*m_state, kModel, 3, AssumedDate(*m_state), "store");
    const auto before = m_state->m_weights.at(kModel);
    m_http.m_answers = {StoreAnswer(
        200, Table({"\xff", "[]", R"({"declarations":7})",
                    R"({"declarations":[{"model":"m","version":-3}]})"}))};
    CPPUNIT_ASSERT(TakeStep());
    CPPUNIT_ASSERT(m_state->m_weights.at(kModel) == before);
    // It isn't read again at once.
    CPPUNIT_ASSERT(!TakeStep());
  }

  // Guards against dates by a clock that began anew: the store came back from a
  // copy.
  void DatesOfAnEarlierEraAreIgnored() {
    ApplyDeclaration(*m_state, kModel, 3, AssumedDate(*m_state), "store");
    const auto before = m_state->m_weights.at(kModel);
    m_http.m_answers = {StoreAnswer(200, Table({Row(3, 1s, kEra - 1)}))};
    CPPUNIT_ASSERT(TakeStep());
    CPPUNIT_ASSERT(m_state->m_weights.at(kModel) == before);
  }

  void OnlyTheEntryThatReadsTheStoreKeepsDates() {
    m_reads_store = false;
    Learn(2, 1s);
    CPPUNIT_ASSERT(!TakeStep());
    CPPUNIT_ASSERT(m_http.m_requests.empty());
  }

 private:
  void Learn(uint64_t version, Duration age) {
    ApplyDeclaration(*m_state, kModel, version,
                     {BootNow() - age, true, std::nullopt}, "store");
  }

  static std::string Row(uint64_t version, Duration age, uint64_t era) {
    return R"({"declarations":[{"model":"m","version":)" +
           std::to_string(version) + R"(,"era":)" + std::to_string(era) +
           R"(,"at_ms":)" + std::to_string(ToMilliseconds(BootNow() - age)) +
           "}]}";
  }

  static std::string Table(const std::vector<std::string>& values) {
    std::string rows;
    for (size_t i = 0; i < values.size(); ++i) {
      rows += (i == 0 ? "" : ",") +
              (R"({"table":"declarations","part":"declarations","key":"dc-)" +
               std::to_string(i) + R"(","ver":7,"value":")" +
               EncodeBase64(values[i]) + R"("})");
    }
    return R"({"ver":9,"now_ms":5,"has_more":false,"rows":[)" + rows + "]}";
  }

  uint64_t RequiredIn(Duration time) const {
    return decide::Binding(m_state->m_weights.at(kModel), Now() + time);
  }

  bool TakeStep() {
    bool taken = false;
    boost::asio::co_spawn(
        m_io, m_table->TakeStep(),
        [&taken](std::exception_ptr, bool result) { taken = result; });
    m_io.restart();
    m_io.run();
    return taken;
  }

  boost::asio::io_context m_io;
  wire::ScriptedClient m_http;
  std::unique_ptr<EntryState> m_state;
  std::unique_ptr<platform::Store> m_store;
  std::unique_ptr<DeclarationTable> m_table;
  bool m_reads_store = true;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeclarationTableTest);

}  // namespace
}  // namespace verbenalead::entry
