#include "target/chunk_cache.h"

#include <cppunit/extensions/HelperMacros.h>

namespace verbenalead::target {
namespace {

class ChunkCacheTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChunkCacheTest);
  CPPUNIT_TEST(AcceptsOnlyDeclaredChunks);
  CPPUNIT_TEST(NeverMixesVersions);
  CPPUNIT_TEST(KeepsTwoNewestVersions);
  CPPUNIT_TEST(ReleasesMemoryOfStagedChunks);
  CPPUNIT_TEST(CorruptStagedChunkIsMissing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptsOnlyDeclaredChunks() {
    ChunkCache cache;
    cache.AddVersion(1, {Sha256("a"), Sha256("b")});
    CPPUNIT_ASSERT(!cache.Put(1, 0, "spoilt"));
    CPPUNIT_ASSERT(!cache.Put(1, 2, "a"));
    CPPUNIT_ASSERT(cache.Put(1, 0, "a"));
    CPPUNIT_ASSERT(cache.Put(1, 0, "a"));
    CPPUNIT_ASSERT(!cache.Complete(1));
    CPPUNIT_ASSERT_EQUAL(0.5, cache.HeldShare(1));
    CPPUNIT_ASSERT(cache.Put(1, 1, "b"));
    CPPUNIT_ASSERT(cache.Complete(1));
  }

  // Guards against tokens generated from a mix of two versions: a chunk of the
  // older version that arrives late, while the newer one is fetched, must not
  // be stored in the newer one.
  void NeverMixesVersions() {
    ChunkCache cache;
    cache.AddVersion(1, {Sha256("old")});
    cache.AddVersion(2, {Sha256("new")});
    CPPUNIT_ASSERT(!cache.Put(2, 0, "old"));
    CPPUNIT_ASSERT(cache.Put(1, 0, "old"));
    CPPUNIT_ASSERT(!cache.Complete(2));
  }

  void KeepsTwoNewestVersions() {
    ChunkCache cache;
    for (uint64_t version : {1, 3, 2, 4})
      cache.AddVersion(version, {Sha256("x")});
    CPPUNIT_ASSERT(!cache.Find(1) && !cache.Find(2));
    CPPUNIT_ASSERT(cache.Find(3) && cache.Find(4));
  }

  // The staging area holds one chunk per chunk number. A chunk of one version
  // that was overwritten by that of the other must not be reported as held.
  void ReleasesMemoryOfStagedChunks() {
    ChunkCache cache;
    cache.AddVersion(1, {Sha256("old")});
    cache.AddVersion(2, {Sha256("new")});
    CPPUNIT_ASSERT(cache.Put(1, 0, "old"));
    CPPUNIT_ASSERT(!cache.Staged(1));
    cache.RecordStaged(1, 0);
    CPPUNIT_ASSERT(cache.Staged(1) && cache.UnstagedChunks(1).empty());
    CPPUNIT_ASSERT(!cache.Find(1)->m_chunks[0].m_bytes);
    CPPUNIT_ASSERT(cache.Put(2, 0, "new"));
    cache.RecordStaged(2, 0);
    CPPUNIT_ASSERT(cache.Staged(2) && !cache.Complete(1));
  }

  // Guards against tokens generated from corrupt weights: a staged chunk can
  // become corrupt without any write. Once it was read back it must count as
  // missing, so that it is fetched again.
  void CorruptStagedChunkIsMissing() {
    ChunkCache cache;
    cache.AddVersion(1, {Sha256("right")});
    CPPUNIT_ASSERT(cache.VerifyStaged(1, 0, "right"));
    CPPUNIT_ASSERT(cache.Complete(1));
    CPPUNIT_ASSERT(!cache.VerifyStaged(1, 0, "wrong"));
    CPPUNIT_ASSERT(!cache.Complete(1) && cache.Held(1).empty());
    cache.RecordStaged(1, 0);
    cache.RecordAllUnstaged();
    CPPUNIT_ASSERT(!cache.Complete(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChunkCacheTest);

}  // namespace
}  // namespace verbenalead::target
