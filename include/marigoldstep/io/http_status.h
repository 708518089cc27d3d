#pragma once

// Status codes that this project sends or checks (RFC 9110, section 15).
namespace marigoldstep::io::http_status {

inline constexpr unsigned switching_protocols = 101;
inline constexpr unsigned ok = 200; // the first 2xx status; 2xx ends below redirect
inline constexpr unsigned accepted = 202;
inline constexpr unsigned no_content = 204;
inline constexpr unsigned redirect = 300;
inline constexpr unsigned not_modified = 304;
inline constexpr unsigned temporary_redirect = 307;
inline constexpr unsigned bad_request = 400;
inline constexpr unsigned unauthorized = 401;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned request_timeout = 408;
inline constexpr unsigned conflict = 409;
inline constexpr unsigned content_too_large = 413;
inline constexpr unsigned misdirected = 421;
inline constexpr unsigned too_many_requests = 429;
inline constexpr unsigned header_too_large = 431;
inline constexpr unsigned server_error = 500; // the first 5xx status
inline constexpr unsigned not_implemented = 501;
inline constexpr unsigned bad_gateway = 502;
inline constexpr unsigned unavailable = 503;
inline constexpr unsigned gateway_timeout = 504;

// Whether callers take the status as a promise that the request has not run and never
// will.
constexpr bool promises_not_run(unsigned status) {
  return status == request_timeout || status == misdirected ||
         status == too_many_requests || status == unavailable;
}

} // namespace marigoldstep::io::http_status
