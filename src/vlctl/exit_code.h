#ifndef VERBENALEAD_VLCTL_EXIT_CODE_H_
#define VERBENALEAD_VLCTL_EXIT_CODE_H_

namespace verbenalead::vlctl {

/// Exit codes of vlctl.
enum ExitCode {
  kOk = 0,
  kFailed = 1,    ///< The entry could not be reached, or it failed.
  kBadUse = 2,    ///< Bad command line, file or settings.
  kNotFound = 3,  ///< The named thing is not there.
  kConflict = 4,  ///< Somebody else's write came first.
  kUnknown = 5,   ///< The write may have taken effect; ask again with the
                  ///< operation id that was printed.
};

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_EXIT_CODE_H_
