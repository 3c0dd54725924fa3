// Exit codes of the ebonywick binary. They are part of its interface and listed in its help
// text.
#pragma once

namespace ebonywick::exit_codes {

inline constexpr int ok = 0;
// The command line is wrong.
inline constexpr int usage = 1;
// The settings, the declaration or a requested change are invalid.
inline constexpr int invalid = 2;
// A second signal interrupted the graceful shutdown.
inline constexpr int aborted = 3;
// Another operator's change was written first.
inline constexpr int conflict = 4;
// The store could not be read or written, or the outcome of a write is unknown.
inline constexpr int store_unavailable = 5;
// The hosts did not have the version in time.
inline constexpr int timeout = 6;
inline constexpr int other = 7;

} // namespace ebonywick::exit_codes
