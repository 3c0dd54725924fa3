// Exit codes of the ebonywick binary; part of its documented interface.
#pragma once

namespace ebonywick::exit_codes {

inline constexpr int ok = 0;
inline constexpr int usage = 1;
inline constexpr int invalid = 2;
inline constexpr int aborted = 3;
inline constexpr int conflict = 4;
inline constexpr int store_unavailable = 5;
inline constexpr int timeout = 6;
inline constexpr int other = 7;

} // namespace ebonywick::exit_codes
