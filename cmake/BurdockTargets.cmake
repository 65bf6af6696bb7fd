# Warning set shared by every target; warnings are errors.
add_library(burdock_warnings INTERFACE)
target_compile_options(burdock_warnings INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual -Werror)

# burdock_library(NAME SOURCES a.cpp ... DEPENDS x y ...)
# Defines the library burdock_NAME with public headers in include/.
function(burdock_library Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(burdock_${Name} STATIC ${Arg_SOURCES})
  target_include_directories(burdock_${Name} PUBLIC include)
  target_link_libraries(burdock_${Name} PUBLIC ${Arg_DEPENDS} PRIVATE burdock_warnings)
endfunction()

# burdock_test(NAME SOURCES a.cpp ... DEPENDS x y ... [LABELS l ...])
# Defines the test program test_NAME. RapidCheck's seed is fixed so that every run gives the
# same verdict.
function(burdock_test Name)
  if(BURDOCKSTREAM_FLOWD_ONLY)
    return()
  endif()
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS;LABELS" ${ARGN})
  add_executable(test_${Name} ${Arg_SOURCES})
  target_link_libraries(test_${Name} PRIVATE ${Arg_DEPENDS} GTest::gtest_main GTest::gmock
    ${RAPIDCHECK_LIBRARY} burdock_warnings)
  add_test(NAME ${Name} COMMAND test_${Name} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(${Name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300 LABELS "${Arg_LABELS}")
endfunction()
