# Build settings and helper functions shared by all targets.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # Paths relative to the source tree allow all checkouts on a machine to share cached objects.
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CMAKE_COMMAND}" -E env "CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}"
                                  CCACHE_NOHASHDIR=1 "${CCACHE_PROGRAM}")
endif()

set(BTS_SANITIZE "" CACHE STRING "Sanitizers to build with, for example address,undefined or thread")
if(BTS_SANITIZE)
  add_compile_options(-fsanitize=${BTS_SANITIZE} -fno-omit-frame-pointer)
  # A sanitizer report must fail the test, not only be printed.
  add_compile_options(-fno-sanitize-recover=all -O1)
  if(BTS_SANITIZE STREQUAL "thread")
    # Asio uses fences that the thread sanitizer does not model; g++ warns about each.
    add_compile_options(-Wno-tsan)
  endif()
  add_link_options(-fsanitize=${BTS_SANITIZE})
endif()

add_library(bts_options INTERFACE)
target_compile_options(bts_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
                                             -Woverloaded-virtual)
# Deployment builds use other compilers and optimisation levels, whose additional warnings must not
# fail the build.
option(BTS_WARNINGS_AS_ERRORS "Treat warnings as errors" ON)
if(BTS_WARNINGS_AS_ERRORS)
  target_compile_options(bts_options INTERFACE -Werror)
endif()
target_include_directories(bts_options INTERFACE "${CMAKE_SOURCE_DIR}/source")
target_compile_definitions(bts_options INTERFACE BOOST_LOG_DYN_LINK
                                                 BTS_VERSION="${PROJECT_VERSION}")
target_link_libraries(bts_options INTERFACE Threads::Threads)

# bts_add_module(NAME common SOURCES a.cpp b.cpp DEPENDS bts_x Boost::json)
# adds the static library bts_<NAME>.
function(bts_add_module)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  add_library(bts_${ARG_NAME} STATIC ${ARG_SOURCES})
  target_link_libraries(bts_${ARG_NAME} PUBLIC bts_options ${ARG_DEPENDS})
endfunction()

# bts_add_plugins(NAME placement SOURCES first_fit.cpp DEPENDS bts_placement)
# adds the object library bts_<NAME>_plugins. Executables and tests link it directly, so that the
# linker keeps the objects whose only entry point is their static registration.
function(bts_add_plugins)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  add_library(bts_${ARG_NAME}_plugins OBJECT ${ARG_SOURCES})
  target_link_libraries(bts_${ARG_NAME}_plugins PUBLIC bts_options ${ARG_DEPENDS})
endfunction()

# bts_add_program(NAME buckthornspar-entry SOURCES main.cpp DEPENDS bts_net)
function(bts_add_program)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SOURCES})
  target_link_libraries(${ARG_NAME} PRIVATE bts_options ${ARG_DEPENDS})
endfunction()

# Targets that build only the tests of one label, for the sanitizer builds.
foreach(label unit scenario process)
  add_custom_target(tests_${label})
endforeach()

# bts_add_test(NAME common SOURCES ring_test.cpp DEPENDS bts_common [LABEL unit])
# adds the Boost.Test executable test_<NAME> and registers it with CTest.
function(bts_add_test)
  cmake_parse_arguments(ARG "" "NAME;LABEL" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_LABEL)
    set(ARG_LABEL unit)
  endif()
  add_executable(test_${ARG_NAME} ${ARG_SOURCES})
  target_link_libraries(test_${ARG_NAME} PRIVATE bts_options ${ARG_DEPENDS}
                                                 Boost::unit_test_framework)
  target_compile_definitions(test_${ARG_NAME} PRIVATE BOOST_TEST_DYN_LINK)
  target_include_directories(test_${ARG_NAME} PRIVATE "${CMAKE_SOURCE_DIR}/tests")
  add_dependencies(tests_${ARG_LABEL} test_${ARG_NAME})
  add_test(NAME ${ARG_NAME} COMMAND test_${ARG_NAME})
  set_tests_properties(${ARG_NAME} PROPERTIES LABELS ${ARG_LABEL} TIMEOUT 300)
endfunction()

# bts_add_existing(a b c) adds those of the named subdirectories that have a CMakeLists.txt.
function(bts_add_existing)
  foreach(directory ${ARGN})
    if(EXISTS "${CMAKE_CURRENT_SOURCE_DIR}/${directory}/CMakeLists.txt")
      add_subdirectory(${directory})
    endif()
  endforeach()
endfunction()
