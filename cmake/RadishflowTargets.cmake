# Helpers that declare libraries, programs and tests with the project's warnings and include paths.

# GCC 12 warns about fields that designated initialisers intentionally leave at their defaults. Clang, which the linter
# uses, warns about the statement expressions in the macros of Boost.LEAF.
set(RADISHFLOW_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wno-missing-field-initializers -Wno-gnu-statement-expression -Werror)

# radishflow_add_library(Terms SOURCES a.cpp LINKS radishflow::Support)
# LINKS names each lower layer that the library uses; a lower layer never links a higher one.
function(radishflow_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  if(ARG_SOURCES)
    add_library(radishflow${name} STATIC ${ARG_SOURCES})
    target_include_directories(radishflow${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(radishflow${name} PUBLIC ${ARG_LINKS})
    target_compile_options(radishflow${name} PRIVATE ${RADISHFLOW_WARNINGS})
  else()
    add_library(radishflow${name} INTERFACE)
    target_include_directories(radishflow${name} INTERFACE ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(radishflow${name} INTERFACE ${ARG_LINKS})
  endif()
  add_library(radishflow::${name} ALIAS radishflow${name})
endfunction()

# radishflow_add_program(radishflowd SOURCES main.cpp LINKS radishflow::Daemon)
function(radishflow_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LINKS})
  target_compile_options(${name} PRIVATE ${RADISHFLOW_WARNINGS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# radishflow_add_test(TermsTests LABEL unit TIMEOUT 60 SOURCES a.cpp LINKS radishflow::Terms)
# Boost.Test supplies main; the label is "unit" or "whole" (whole-program).
function(radishflow_add_test name)
  cmake_parse_arguments(ARG "" "LABEL;TIMEOUT" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${PROJECT_SOURCE_DIR}/unittests/main.cpp ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LINKS} Boost::unit_test_framework)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK RADISHFLOW_TEST_MODULE=${name})
  target_compile_options(${name} PRIVATE ${RADISHFLOW_WARNINGS})
  add_test(NAME ${name} COMMAND ${name} --log_level=error --report_level=short)
  # The timeout only ends tests that hang. Seeded schedules take up to thirty times as long under a sanitizer.
  if(RADISHFLOW_SANITIZE)
    math(EXPR ARG_TIMEOUT "${ARG_TIMEOUT} * 10")
  endif()
  set_tests_properties(${name} PROPERTIES LABELS ${ARG_LABEL} TIMEOUT ${ARG_TIMEOUT})
  if(RADISHFLOW_SANITIZE STREQUAL "thread")
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "TSAN_OPTIONS=suppressions=${PROJECT_SOURCE_DIR}/utils/thread-sanitizer.supp")
  endif()
endfunction()
