#include "decide/store/table_cursor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::decide {
namespace {

class TableCursorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableCursorTest);
  CPPUNIT_TEST(ChangesOfANewerEraAreReadAsAWholeTable);
  CPPUNIT_TEST(AnswersOfAnOlderEraAreDiscarded);
  CPPUNIT_TEST(EraToldByOthersAsksForTheWholeTable);
  CPPUNIT_TEST(RowsOfAnotherProcessReplaceTheRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against changes that are never read, since the store's numbers have
  // passed those known when it is asked again.
  void ChangesOfANewerEraAreReadAsAWholeTable() {
    TableCursor cursor;
    CPPUNIT_ASSERT(NeedsWholeTable(cursor));
    CPPUNIT_ASSERT(RecordAnswer(cursor, {1, 500}, true) == AnswerUse::kApply);
    CPPUNIT_ASSERT(RecordAnswer(cursor, {1, 510}, false) == AnswerUse::kApply);
    CPPUNIT_ASSERT(RecordAnswer(cursor, {2, 700}, false) ==
                   AnswerUse::kReadWhole);
    CPPUNIT_ASSERT(NeedsWholeTable(cursor));
    CPPUNIT_ASSERT(RecordAnswer(cursor, {2, 90}, true) == AnswerUse::kApply);
    CPPUNIT_ASSERT(!NeedsWholeTable(cursor));
    CPPUNIT_ASSERT(cursor.m_revision == model::Revision({2, 90}));
  }

  // Guards against an answer given before the store's return that arrives after
  // one given since, and brings older rows back.
  void AnswersOfAnOlderEraAreDiscarded() {
    TableCursor cursor;
    RecordAnswer(cursor, {2, 90}, true);
    CPPUNIT_ASSERT(RecordAnswer(cursor, {1, 600}, false) ==
                   AnswerUse::kDiscard);
    CPPUNIT_ASSERT(RecordAnswer(cursor, {1, 600}, true) == AnswerUse::kDiscard);
    CPPUNIT_ASSERT(cursor.m_revision == model::Revision({2, 90}));
  }

  void EraToldByOthersAsksForTheWholeTable() {
    TableCursor cursor;
    RecordAnswer(cursor, {1, 500}, true);
    CPPUNIT_ASSERT(!RecordEra(cursor, 1));
    CPPUNIT_ASSERT(RecordEra(cursor, 2));
    CPPUNIT_ASSERT(NeedsWholeTable(cursor));
    // An answer that was on its way meanwhile.
    CPPUNIT_ASSERT(RecordAnswer(cursor, {1, 501}, false) ==
                   AnswerUse::kDiscard);
  }

  void RowsOfAnotherProcessReplaceTheRead() {
    TableCursor cursor;
    RecordAnswer(cursor, {1, 500}, true);
    SkipTo(cursor, {2, 40});
    CPPUNIT_ASSERT(!NeedsWholeTable(cursor));
    SkipTo(cursor, {1, 900});
    CPPUNIT_ASSERT(cursor.m_revision == model::Revision({2, 40}));
    RecordHistoryGone(cursor);
    CPPUNIT_ASSERT(NeedsWholeTable(cursor));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableCursorTest);

}  // namespace
}  // namespace verbenalead::decide
