# Helpers for the packages of the workspace.

add_library(azurespur_options INTERFACE)
target_compile_options(azurespur_options INTERFACE -Wall -Wextra -Werror)
target_link_libraries(azurespur_options INTERFACE Threads::Threads)

set(AZURESPUR_SANITIZE "" CACHE STRING "Comma-separated sanitizers to build with")
if(AZURESPUR_SANITIZE)
  target_compile_options(azurespur_options INTERFACE
    -fsanitize=${AZURESPUR_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(azurespur_options INTERFACE -fsanitize=${AZURESPUR_SANITIZE})
endif()

# azurespur_package(NAME DEPS...) makes the static library of a package from
# include/NAME and src/, and its test program from tests/*_test.cc.
function(azurespur_package name)
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC include PRIVATE src)
    target_link_libraries(${name} PUBLIC azurespur_options ${ARGN})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE include)
    target_link_libraries(${name} INTERFACE azurespur_options ${ARGN})
  endif()
  azurespur_tests(${name})
endfunction()

# azurespur_tests(NAME DEPS...) makes ${NAME}_test from tests/*_test.cc.
function(azurespur_tests name)
  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cc)
  if(tests AND AZURESPUR_TESTS)
    add_executable(${name}_test ${tests} ${CMAKE_SOURCE_DIR}/testing/test_main.cc)
    target_include_directories(${name}_test
      PRIVATE src ${CMAKE_SOURCE_DIR}/testing)
    target_link_libraries(${name}_test PRIVATE ${name} ${ARGN} doctest::doctest)
    add_test(NAME ${name}_test COMMAND ${name}_test)
    set_tests_properties(${name}_test PROPERTIES TIMEOUT 600)
  endif()
endfunction()

# azurespur_program(NAME SOURCE DEPS...) makes one program from one source file.
function(azurespur_program name source)
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE azurespur_options ${ARGN})
endfunction()
