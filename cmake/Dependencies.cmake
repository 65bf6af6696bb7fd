# Every library comes from Debian's packages; .ci/install lists them.
find_package(PkgConfig REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(GTest REQUIRED)
find_package(benchmark REQUIRED)

pkg_check_modules(GLIB REQUIRED IMPORTED_TARGET glib-2.0 gio-2.0)
pkg_check_modules(SOUP REQUIRED IMPORTED_TARGET libsoup-3.0)
pkg_check_modules(JSONCPP REQUIRED IMPORTED_TARGET jsoncpp)
pkg_check_modules(GLOG REQUIRED IMPORTED_TARGET libglog)
pkg_check_modules(GFLAGS REQUIRED IMPORTED_TARGET gflags)
pkg_check_modules(COAP REQUIRED IMPORTED_TARGET libcoap-3-notls)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)

find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
find_library(JSONRPC_COMMON_LIBRARY jsonrpccpp-common REQUIRED)
find_library(JSONRPC_SERVER_LIBRARY jsonrpccpp-server REQUIRED)
find_library(JSONRPC_CLIENT_LIBRARY jsonrpccpp-client REQUIRED)
