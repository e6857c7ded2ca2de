#ifndef VERBENALEAD_VLCTL_EXIT_CODE_H_
#define VERBENALEAD_VLCTL_EXIT_CODE_H_

namespace verbenalead::vlctl {

/// Exit codes of vlctl, by which scripts distinguish errors.
enum ExitCode {
  kOk = 0,
  kFailed = 1,      ///< The entry could not be reached, or it failed.
  kUsageError = 2,  ///< Invalid command line, file or settings.
  kNotFound = 3,    ///< The named resource, target or request does not exist.
  kConflict = 4,    ///< Another write changed the resource first.
  kUnknown = 5,     ///< The write may have taken effect. Retrying it with the
                    ///< printed operation id is safe.
};

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_EXIT_CODE_H_
