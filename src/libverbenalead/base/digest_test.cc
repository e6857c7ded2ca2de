#include "base/digest.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "base/catch_failure.h"
#include "base/sha256_hasher.h"

namespace verbenalead {
namespace {

class DigestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DigestTest);
  CPPUNIT_TEST(KnownAnswer);
  CPPUNIT_TEST(IncrementalHashMatchesWhole);
  CPPUNIT_TEST(RejectsMalformedDigests);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The "abc" example from FIPS 180-4.
  void KnownAnswer() {
    CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"
                                     "b00361a396177a9cb410ff61f20015ad"),
                         ToString(Sha256("abc")));
  }

  void IncrementalHashMatchesWhole() {
    CPPUNIT_ASSERT(rc::check(
        "pieces", [](const std::string& first, const std::string& second) {
          Sha256Hasher hasher;
          hasher.Update(first);
          hasher.Update(second);
          const Digest digest = hasher.Finish();
          RC_ASSERT(digest == Sha256(first + second));
          const auto parsed =
              CatchFailure([&] { return ParseDigest(ToString(digest)); });
          RC_ASSERT(parsed.has_value() && *parsed == digest);
        }));
  }

  void RejectsMalformedDigests() {
    const std::string valid_digest = ToString(Sha256(""));
    for (const std::string& text :
         {std::string(), valid_digest.substr(1), valid_digest + "0",
          "G" + valid_digest.substr(1), "A" + valid_digest.substr(1)})
      CPPUNIT_ASSERT(!CatchFailure([&] { return ParseDigest(text); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DigestTest);

}  // namespace
}  // namespace verbenalead
